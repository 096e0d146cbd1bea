/** Callers who hand in batch jobs, read them at any program, and end some. */
import {sleep, SYSTEM_CLOCK, type Random} from '@oathead/core';
import {Caller, type ReadResult} from '@oathead/platform/stand_ins';
import {readMarks, type MarkedText} from './expected_text.js';
import type {LoadShape} from '../process/load_shape.js';
import type {ProgramPlace, SoakFleet} from '../process/soak_fleet.js';

/** A result, whose text has no marks. */
export type SeenResult = ReadResult & MarkedText;

/** A request for the body of an item that got something else. */
export interface BodyFlaw {
  readonly id: string;
  /** When the response had come. */
  readonly at: number;
  readonly status: number;
}

/** One job, as its callers saw it. */
export interface JobRecord {
  readonly id: string;
  readonly items: number;
  /** Statuses of all tries to hand it in; undefined: no answer. */
  readonly tries: Array<number | undefined>;
  /** When it was first sent. */
  readonly sentAt: number;
  acceptedAt: number | undefined;
  /** When its end was first asked for; undefined: it was not. */
  endAskedAt: number | undefined;
  /** When its end was acknowledged; undefined: it was not ended. */
  endedAt: number | undefined;
  /** The longest list that was read. */
  results: readonly SeenResult[];
  /** When each of these results was read first. */
  readonly listedAt: number[];
  readonly bodyFlaws: BodyFlaw[];
  /** What readers saw that must not be. */
  readonly flaws: string[];
}

const READ_PAUSE_MS = 120;
const MAX_TRIES = 12;
/** Tries to read a job from one program when nothing is wrong. */
const CALM_TRIES = 3;
const RETRY_MS = 300;
/** One job in so many is ended by its caller. */
const ENDED_SHARE = 6;
/** For so long after its acceptance a job may be unknown, in milliseconds. */
const SETTLE_MS = 1000;
/** Statuses that say that there is no such item. */
const GONE: ReadonlySet<number> = new Set([404, 410]);

/** Hands in jobs until stopped. */
export class BatchLoad {
  /** All jobs that were handed in. */
  readonly jobs: JobRecord[] = [];
  private readonly stopping = new AbortController();
  private running: Array<Promise<void>> = [];

  /**
   * @param fleet - Whom to ask.
   * @param random - Draws sizes, readers and what is ended.
   * @param load - How many jobs, and how large.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    private readonly load: LoadShape,
  ) {}

  /** Begins to hand in and to read. */
  start(): void {
    this.running = [this.handIn(), this.readOn()];
  }

  /** Hands in nothing more, and has ended what was to end. */
  async finish(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.running);
    // Nothing is wrong by now: what was not acknowledged before must be.
    for (const job of this.jobs)
      if (job.endAskedAt !== undefined && job.endedAt === undefined) {
        await this.end(job);
        if (job.endedAt === undefined) job.flaws.push('its end is not known');
      }
  }

  /** @returns Jobs that were accepted, not ended, and are not whole yet. */
  unfinished(): readonly JobRecord[] {
    return this.jobs.filter(
      job =>
        job.acceptedAt !== undefined &&
        job.endedAt === undefined &&
        job.results.length < job.items,
    );
  }

  /**
   * Reads a job once.
   *
   * @param job - To be read.
   * @param place - Where; at any program by default.
   * @returns Whether its results were read.
   */
  async read(job: JobRecord, place?: ProgramPlace): Promise<boolean> {
    const asked = Date.now();
    const answer = await this.attempt(caller => caller.results(job.id), place);
    if (answer?.status === 404 && isSettled(job, asked))
      job.flaws.push('an accepted job is not known');
    if (answer?.status !== 200) return false;
    const {total, results} = JSON.parse(answer.text) as {
      readonly total: number;
      readonly results: readonly ReadResult[];
    };
    if (total !== job.items) job.flaws.push(`total ${total}`);
    this.compare(job, results.map(withoutMarks));
    return true;
  }

  /** Reads each accepted job at each program, when nothing is wrong. */
  async readEverywhere(): Promise<void> {
    for (const job of this.jobs.filter(isAccepted))
      for (const place of this.fleet.programs) {
        let tries = 0;
        while (tries < CALM_TRIES && !(await this.read(job, place))) tries++;
        if (tries === CALM_TRIES)
          job.flaws.push(`${place.name} does not list it`);
      }
  }

  /** Reads the body of one item that is not listed yet. */
  private async readBody(job: JobRecord): Promise<void> {
    const asked = Date.now();
    const index = this.random.int(job.items);
    const id = `${job.id}-${index}`;
    if (!isSettled(job, asked) || job.results.some(known => known.id === id))
      return;
    const answer = await this.attempt(caller => caller.itemBody(job.id, id));
    const isWhole = answer?.status === 200 && answer.text === `body ${index}`;
    const isGone = answer !== undefined && GONE.has(answer.status);
    if (answer && !isWhole && (isGone || answer.status === 200))
      job.bodyFlaws.push({id, at: Date.now(), status: answer.status});
  }

  private compare(job: JobRecord, results: readonly SeenResult[]): void {
    const known = Math.min(results.length, job.results.length);
    for (let i = 0; i < known; i++)
      if (JSON.stringify(results[i]) !== JSON.stringify(job.results[i]))
        job.flaws.push(`position ${i} has changed`);
    if (results.length <= job.results.length) return;
    const now = Date.now();
    for (let i = known; i < results.length; i++) job.listedAt.push(now);
    job.results = results;
  }

  private async handIn(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const id = `job-${this.jobs.length}`;
      const items = 1 + this.random.int(this.load.mostItems);
      const job: JobRecord = {
        id,
        items,
        tries: [],
        sentAt: Date.now(),
        acceptedAt: undefined,
        endAskedAt: undefined,
        endedAt: undefined,
        results: [],
        listedAt: [],
        bodyFlaws: [],
        flaws: [],
      };
      this.jobs.push(job);
      const ends = this.random.int(ENDED_SHARE) === 0;
      this.running.push(this.accept(job, ends));
      await sleep(SYSTEM_CLOCK, this.load.jobPauseMs);
    }
  }

  private async accept(job: JobRecord, ends: boolean): Promise<void> {
    const headers = this.itemHeaders();
    for (let i = 0; i < MAX_TRIES; i++) {
      const place = this.anyPlace();
      const answer = await this.attempt(
        caller => caller.submit(job.id, job.items, headers),
        place,
      );
      job.tries.push(answer?.status);
      if (answer?.status === 202) {
        job.acceptedAt ??= Date.now();
        this.fleet.onAccepted?.(place);
        break;
      }
      await sleep(SYSTEM_CLOCK, RETRY_MS);
    }
    if (ends && job.acceptedAt !== undefined) await this.end(job);
  }

  private itemHeaders(): Readonly<Record<string, string>> {
    const {itemParts} = this.load;
    if (itemParts === 1) return {};
    const part = this.random.int(itemParts);
    return {'x-prompt-prefix': `item${part}:100,b:250`};
  }

  private async end(job: JobRecord): Promise<void> {
    job.endAskedAt ??= Date.now();
    for (let i = 0; i < MAX_TRIES; i++) {
      const answer = await this.attempt(caller => caller.cancel(job.id));
      if (answer?.status === 200) {
        job.endedAt = Date.now();
        return;
      }
      await sleep(SYSTEM_CLOCK, RETRY_MS);
    }
    // Nobody acknowledged it: the job may go on, or may have ended all the same.
  }

  private async readOn(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const job = this.jobs[this.random.int(this.jobs.length)];
      if (job) await Promise.all([this.read(job), this.readBody(job)]);
      await sleep(SYSTEM_CLOCK, READ_PAUSE_MS);
    }
  }

  private anyPlace(): ProgramPlace {
    const {programs} = this.fleet;
    return programs[this.random.int(programs.length)]!;
  }

  private async attempt<T>(
    ask: (caller: Caller) => Promise<T>,
    place = this.anyPlace(),
  ): Promise<T | undefined> {
    try {
      return await ask(new Caller(place.program.front, this.fleet.key));
    } catch {
      // No answer: the next try may meet another program.
      return undefined;
    }
  }
}

function isAccepted({acceptedAt}: JobRecord): boolean {
  return acceptedAt !== undefined;
}

function isSettled({acceptedAt}: JobRecord, now: number): boolean {
  return acceptedAt !== undefined && now > acceptedAt + SETTLE_MS;
}

function withoutMarks(result: ReadResult): SeenResult {
  return {...result, ...readMarks(result.text)};
}
