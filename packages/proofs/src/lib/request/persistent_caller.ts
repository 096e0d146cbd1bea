/** A caller that sends its request again until it has the answer. */
import {sleep} from '@oathead/core';
import type {EntryProcess} from '../process/processes.js';
import type {ProofFleet} from '../process/proof_fleet.js';
import {isFinishedStream, refusalOf, send} from './caller.js';
import type {Reply, ScriptRequest} from './caller.js';
import {broken} from './verdict.js';
import type {Verdict} from './verdict.js';

/** One send, with what was known to have run before and after it. */
export interface Sent {
  readonly reply: Reply;
  readonly startsBefore: number;
  readonly startsAfter: number;
  /** Whether another send of the same was under way, or had been given up. */
  readonly alone: boolean;
}

/** What the caller does about a reply. */
export type Next = 'finished' | 'again';

const PAUSE_MS = 500;
const MAX_SENDS = 120;

/** Sends one request, as often as needed. */
export class PersistentCaller {
  readonly sents: Sent[] = [];
  private underWay = 0;
  private unsettled = 0;
  private readonly leaving = new AbortController();
  private readonly extra: Promise<void>[] = [];

  /**
   * @param fleet - The fleet.
   * @param item - Names the work.
   * @param req - The request.
   * @param decide - What the caller does about a reply.
   */
  constructor(
    private readonly fleet: ProofFleet,
    private readonly item: string,
    private readonly req: ScriptRequest,
    private readonly decide: (reply: Reply) => Next,
  ) {}

  /**
   * Sends until there is an answer, to one entry after another.
   *
   * @param begin - The entry that the balancer picks first.
   */
  async persist(begin: EntryProcess): Promise<void> {
    let entry = begin;
    for (let n = 0; n < MAX_SENDS; n++) {
      const reply = await this.sendOnce(entry);
      if (this.decide(reply) === 'finished' || reply.end === 'left') break;
      if (reply.end !== 'unreachable') {
        const retryMs = refusalOf(reply)?.retryAfterMs ?? 0;
        await sleep(this.fleet.clock, Math.max(PAUSE_MS, retryMs));
      }
      entry = this.after(entry);
    }
    await Promise.all(this.extra);
  }

  /** Sends once more, beside what is under way. */
  resend(entry: EntryProcess): void {
    this.extra.push(this.sendOnce(entry).then(() => {}));
  }

  /** The caller hangs up. */
  leave(): void {
    this.leaving.abort();
  }

  /** Whether the caller hung up. */
  get left(): boolean {
    return this.leaving.signal.aborted;
  }

  /** @returns The last reply of a whole answer, if there is any. */
  get answer(): Reply | undefined {
    return this.sents
      .map(({reply}) => reply)
      .find(r => r.status === 200 && r.end === 'ended' && !refusalOf(r));
  }

  /** @returns What is wrong with any one reply. */
  verdicts(): readonly Verdict[] {
    return this.sents.flatMap(sent => [
      ...untrue(this.item, sent),
      ...cut(this.item, sent),
    ]);
  }

  private async sendOnce(entry: EntryProcess): Promise<Reply> {
    const {fleet, item, req} = this;
    const startsBefore = fleet.observer.startsOf(item);
    const aloneBefore = this.underWay === 0 && this.unsettled === 0;
    this.underWay++;
    const reply = await send(fleet, entry, req, this.leaving.signal, {
      onAccept: () => fleet.reach('accept', item, entry.id),
      onAnswer: () => fleet.reach('answer', item, entry.id),
    });
    this.underWay--;
    const startsAfter = fleet.observer.startsOf(item);
    const alone = aloneBefore && this.underWay === 0;
    if (reply.end === 'broken' || reply.end === 'hung') this.unsettled++;
    this.sents.push({reply, startsBefore, startsAfter, alone});
    return reply;
  }

  private after(entry: EntryProcess): EntryProcess {
    const {entries} = this.fleet;
    return entries[(entries.indexOf(entry) + 1) % entries.length]!;
  }
}

/** A refusal that says "not run" while the request has run. */
function untrue(item: string, sent: Sent): readonly Verdict[] {
  const refusal = refusalOf(sent.reply);
  if (refusal?.ran !== 'not-run' || !sent.alone) return [];
  if (sent.startsAfter === sent.startsBefore) return [];
  return [broken('untrue not-run', `${item}: ${refusal.kind}`)];
}

/** A stream that ended without its end must not look like a finished one. */
function cut(item: string, {reply}: Sent): readonly Verdict[] {
  const isStream = reply.headers['content-type'] === 'text/event-stream';
  if (!isStream || reply.end !== 'ended') return [];
  if (isFinishedStream(reply) || refusalOf(reply)) return [];
  return [broken('cut shown as finished', `${item}: ${reply.text.slice(-60)}`)];
}
