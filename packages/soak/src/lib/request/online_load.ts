/** Callers of online requests, who keep using their connections. */
import {Readable} from 'node:stream';
import {sleep, SYSTEM_CLOCK, type Random} from '@oathead/core';
import {
  Caller,
  type ServingProgram,
  type SingleConnection,
} from '@oathead/platform/stand_ins';
import {onlinePauseAt, type LoadShape} from '../process/load_shape.js';
import type {ProgramPlace, SoakFleet} from '../process/soak_fleet.js';
import {answerOf, type CallerAnswer} from './caller_answer.js';
import {LONG_ROUTES, type LongKind} from './long_kinds.js';

/** What a request asks for, and how often it may run. */
export type OnlineKind =
  /** A stream that may go on at another target. */
  | 'notes'
  /** A stream that may run once only. */
  | 'flags'
  /** A plain request that may be repeated. */
  | 'limits'
  /** The like on a route that was added during the run. */
  | 'extra'
  | LongKind;

/** One request, as its caller saw it. */
export interface OnlineRecord extends CallerAnswer {
  readonly id: string;
  readonly kind: OnlineKind;
  readonly path: string;
  /** The key it was sent with. */
  readonly key: string;
  readonly place: string;
  /** The process that was asked. */
  readonly pid: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** The try before this one, whose stream it goes on with. */
  readonly takesUp?: OnlineRecord;
}

/** What a request asks for. */
type Asked = Pick<OnlineRecord, 'id' | 'kind' | 'key' | 'path' | 'takesUp'>;

/** A connection to a program, which may have ended. */
interface CallerLine {
  readonly place: ProgramPlace;
  readonly program: ServingProgram;
  readonly dispatcher: SingleConnection['dispatcher'];
}

/** Each so many requests one is sent by a key that was taken away. */
const WITHDRAWN_EACH = 8;
/** Kinds of streams that are taken up when they break off, until so long after
 * their begin: the time that their callers have, and a second for a busy machine, in
 * milliseconds. */
const TAKE_UP_MS: Partial<Readonly<Record<OnlineKind, number>>> = {
  notes: 5000,
  chapters: LONG_ROUTES.chapters.timeoutMs + 1000,
};
/** So many programs may refuse it or break it off. */
const MOST_TAKE_UPS = 4;
/** Before the next try, in milliseconds. */
const TAKE_UP_PAUSE_MS = 100;
const STATUS_UNAVAILABLE = 503;
const EVENT_END = '\n\n';
const KINDS: readonly OnlineKind[] = ['notes', 'flags', 'limits', 'extra'];

/** Sends requests until stopped. */
export class OnlineLoad {
  /** All requests that have ended. */
  readonly records: OnlineRecord[] = [];
  private readonly stopping = new AbortController();
  private readonly open = new Set<Promise<void>>();
  private sent = 0;

  /**
   * @param fleet - Whom to ask.
   * @param random - Draws what is asked.
   * @param load - How often.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    private readonly load: LoadShape,
  ) {}

  /** Begins to ask all programs. */
  start(): void {
    for (const place of this.fleet.programs) void this.ask(place);
  }

  /** Ends it; resolves when all requests have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    while (this.open.size > 0) await Promise.all(this.open);
  }

  /**
   * @param place - Whom to ask.
   * @param kind - What to ask for.
   * @param key - Of the account.
   * @param path - Its path; a new one by default.
   * @returns What came of it; a stream that broke off is taken up later.
   */
  async once(
    place: ProgramPlace,
    kind: OnlineKind,
    key = this.fleet.key,
    path?: string,
  ): Promise<OnlineRecord> {
    const id = `r${++this.sent}`;
    const first = await this.send(place, {
      id,
      kind,
      key,
      path: path ?? this.pathOf(kind, id),
    });
    const isBroken = first.failure === 'broken' && first.text !== '';
    const takeUpMs = TAKE_UP_MS[kind];
    if (takeUpMs !== undefined && isBroken) this.follow(first, takeUpMs);
    return first;
  }

  private follow(first: OnlineRecord, takeUpMs: number): void {
    const done = this.takeUp(first, first.sentAt + takeUpMs).then(
      () => void this.open.delete(done),
    );
    this.open.add(done);
  }

  /** Goes on with a stream that has broken off, at one program after another. */
  private async takeUp(first: OnlineRecord, until: number): Promise<void> {
    const {kind, key, path} = first;
    let takesUp = first;
    for (let tries = 0; tries < MOST_TAKE_UPS && Date.now() < until;) {
      const id = `r${++this.sent}`;
      const place = await this.readyPlace(this.sent);
      const next =
        place && (await this.send(place, {id, kind, key, path, takesUp}));
      if (next && next.failure !== 'unconnected') {
        if (!mayGoOn(next)) return;
        takesUp = next;
        tries++;
      }
      await sleep(SYSTEM_CLOCK, TAKE_UP_PAUSE_MS);
    }
  }

  /** The platform hands new connections to nodes that say that they are ready. */
  private async readyPlace(turn: number): Promise<ProgramPlace | undefined> {
    const {programs} = this.fleet;
    const place = programs[turn % programs.length]!;
    if (place.ending || place.paused) return undefined;
    return (await place.program.isReady()) ? place : undefined;
  }

  /**
   * @param line - The connection to use, and where it leads.
   * @param asked - What to ask for.
   * @param body - Its body in chunks; in one piece by default.
   * @returns What came of it.
   */
  async overLine(
    line: CallerLine,
    asked: Pick<OnlineRecord, 'kind' | 'key' | 'path'>,
    body?: AsyncIterable<string>,
  ): Promise<OnlineRecord> {
    const id = `r${++this.sent}`;
    return await this.send(line.place, {...asked, id}, line, body);
  }

  private async send(
    place: ProgramPlace,
    asked: Asked,
    {program, dispatcher}: Partial<CallerLine> = {},
    chunks?: AsyncIterable<string>,
  ): Promise<OnlineRecord> {
    const sentAt = Date.now();
    const {pid, front} = program ?? place.program;
    const base = {...asked, place: place.name, pid, sentAt};
    const caller = new Caller(front, asked.key, dispatcher);
    const body = chunks && Readable.from(chunks);
    const {id, kind, path, takesUp} = asked;
    const headers = {'x-attempt-id': id, ...resumption(takesUp)};
    const record = {
      ...base,
      ...(await answerOf(caller, kind, path, headers, body)),
    };
    const whole = {...record, endedAt: Date.now()};
    this.records.push(whole);
    return whole;
  }

  private async ask(place: ProgramPlace): Promise<void> {
    const startedAt = SYSTEM_CLOCK.now();
    while (!this.stopping.signal.aborted) {
      const kind = KINDS[this.random.int(KINDS.length)]!;
      const request = this.once(place, kind, this.nextKey()).then(() => {
        this.open.delete(request);
      });
      this.open.add(request);
      const sinceMs = SYSTEM_CLOCK.now() - startedAt;
      await sleep(SYSTEM_CLOCK, onlinePauseAt(this.load, sinceMs));
    }
  }

  private nextKey(): string {
    const withdrawn = [...this.fleet.withdrawnAt.keys()];
    const isTurn = this.sent % WITHDRAWN_EACH === 0;
    return (isTurn && withdrawn.at(-1)) || this.fleet.key;
  }

  private pathOf(kind: OnlineKind, id: string): string {
    if (kind !== 'extra') return `/${kind}/${id}`;
    return `${this.fleet.knownRoute}${id}`;
  }
}

function mayGoOn({status, failure}: OnlineRecord): boolean {
  return failure === 'broken' || status === STATUS_UNAVAILABLE;
}

function resumption(
  takesUp: OnlineRecord | undefined,
): Readonly<Record<string, string>> {
  if (!takesUp) return {};
  return {
    'last-event-id': String(eventsUpTo(takesUp)),
    resumes: triesOf(takesUp)[0]!.id,
  };
}

/**
 * @param record - A try of a stream.
 * @returns All its tries up to this one, the first one first. It brought the
 *     first event, or there would be nothing to take up.
 */
export function triesOf(record: OnlineRecord): readonly OnlineRecord[] {
  const {takesUp} = record;
  return takesUp ? [...triesOf(takesUp), record] : [record];
}

/** @returns The number of events that arrived up to this try of a stream. */
export function eventsUpTo(record: OnlineRecord): number {
  return triesOf(record).reduce((sum, {text}) => {
    return sum + text.split(EVENT_END).length - 1;
  }, 0);
}
