/**
 * What runs at the engine, with the tallies that admission decides by kept up
 * to date, so that no decision walks over the streams.
 */
import type {AdmissionRequest} from './admission.js';
import type {ServeClass} from '../request/serve.js';

/** Prefill that nothing explains, in tokens: something was not cached. */
export const MISS_TOKENS = 128;

/** A request at the engine. */
export interface Running {
  readonly request: AdmissionRequest;
  readonly startedAt: number;
  /** When it came in, before any wait. */
  readonly arrivedAt: number;
  /** Counts starts; a higher one started later. */
  readonly order: number;
  /** Tokens that had to be prefilled, as estimated. */
  readonly prefillTokens: number;
  /** Tokens that are still to be prefilled, as estimated. */
  prefillLeft: number;
  /** Its tokens to prefill were estimated anew. */
  corrected: boolean;
  /** Still prefilling its prompt. */
  prefilling: boolean;
  /** Tokens generated here. */
  generated: number;
  /** Told to stop; the engine has not said yet that it did. */
  stopping: boolean;
}

/** Tallies of one class. */
export interface Tally {
  /** Requests that are to stay. */
  running: number;
  /** Of them, those that get tokens. */
  decoding: number;
  /** Prompt tokens not yet prefilled. */
  prefillTokens: number;
  /** Tokens in the engine's memory. */
  kvTokens: number;
  /** Tokens in the engine's memory once all have run to their end. */
  kvAtEnd: number;
}

function emptyTally(): Tally {
  return {
    running: 0,
    decoding: 0,
    prefillTokens: 0,
    kvTokens: 0,
    kvAtEnd: 0,
  };
}

function promptOf(request: AdmissionRequest): number {
  return request.promptTokens + request.resumedTokens;
}

/** Requests at the engine. */
export class RunningSet {
  private readonly byId = new Map<string, Running>();
  private readonly tallies: Readonly<Record<ServeClass, Tally>> = {
    online: emptyTally(),
    batch: emptyTally(),
  };
  private readonly prefilling = new Set<Running>();
  private started = 0;

  /** How many the engine has, those that are stopping included. */
  get size(): number {
    return this.byId.size;
  }

  /** Whether a batch prompt is being prefilled. */
  get prefillsBatch(): boolean {
    const {running, decoding} = this.tallies.batch;
    return running > decoding;
  }

  /** Whether any prompt is still being prefilled. */
  get prefillsAny(): boolean {
    return this.prefilling.size > 0;
  }

  /** Tallies of online requests. */
  get online(): Readonly<Tally> {
    return this.tallies.online;
  }

  /** Tallies of batch work, without what is stopping. */
  get batch(): Readonly<Tally> {
    return this.tallies.batch;
  }

  /**
   * @param id - A request.
   * @returns It, if the engine has it.
   */
  get(id: string): Running | undefined {
    return this.byId.get(id);
  }

  /** @returns All, oldest first. */
  all(): Iterable<Running> {
    return this.byId.values();
  }

  /**
   * @param request - What is handed to the engine.
   * @param arrivedAt - When it came in, in milliseconds.
   * @param now - Milliseconds.
   * @param prefillTokens - Tokens that have to be prefilled, as estimated.
   */
  start(
    request: AdmissionRequest,
    arrivedAt: number,
    now: number,
    prefillTokens = promptOf(request),
  ): void {
    const running: Running = {
      request,
      startedAt: now,
      arrivedAt,
      order: this.started,
      prefillTokens,
      prefillLeft: prefillTokens,
      corrected: false,
      prefilling: true,
      generated: 0,
      stopping: false,
    };
    this.started += 1;
    this.byId.set(request.id, running);
    this.prefilling.add(running);
    const tally = this.tallies[request.class];
    tally.running += 1;
    tally.prefillTokens += prefillTokens;
    tally.kvTokens += promptOf(request);
    tally.kvAtEnd += request.promptTokens + request.maxTokens;
  }

  /**
   * @param id - A request whose prompt is prefilled.
   * @returns It, if it was prefilling.
   */
  firstToken(id: string): Running | undefined {
    const running = this.byId.get(id);
    if (running === undefined || !running.prefilling) return undefined;
    running.prefilling = false;
    this.prefilling.delete(running);
    if (running.stopping) return running;
    const tally = this.tallies[running.request.class];
    tally.prefillTokens -= running.prefillLeft;
    tally.decoding += 1;
    return running;
  }

  /**
   * @param id - A request.
   * @param count - How many tokens it got.
   * @returns It, if the engine has it.
   */
  tokens(id: string, count: number): Running | undefined {
    const running = this.byId.get(id);
    if (running === undefined) return undefined;
    running.generated += count;
    if (!running.stopping) {
      this.tallies[running.request.class].kvTokens += count;
    }
    return running;
  }

  /**
   * Takes a request out of the tallies; the engine still has it, and works on
   * it until its step ends.
   *
   * @param running - What is told to stop.
   */
  stop(running: Running): void {
    this.untally(running);
    running.stopping = true;
  }

  /**
   * @param id - A request that the engine is free of.
   * @returns It, if the engine had it.
   */
  end(id: string): Running | undefined {
    const running = this.byId.get(id);
    if (running === undefined) return undefined;
    this.byId.delete(id);
    this.prefilling.delete(running);
    if (!running.stopping) this.untally(running);
    return running;
  }

  /**
   * Notes that an engine has prefilled tokens; it does so in order of start.
   *
   * @param tokens - How many, of all requests together.
   * @returns How many of them were of online prompts, and of none.
   */
  prefilled(tokens: number): {
    readonly online: number;
    readonly unexpected: number;
  } {
    let left = tokens;
    let online = 0;
    for (const running of this.prefilling) {
      if (left <= 0) break;
      const part = Math.min(left, running.prefillLeft);
      running.prefillLeft -= part;
      left -= part;
      const {class: kind} = running.request;
      if (!running.stopping) this.tallies[kind].prefillTokens -= part;
      if (kind === 'online') online += part;
    }
    if (left > MISS_TOKENS) this.expectMore();
    return {online, unexpected: left};
  }

  /**
   * The engine prefills more than was thought to be left, so what was thought
   * to be cached is not: those without a token yet have all of it to do.
   */
  private expectMore(): void {
    for (const running of this.prefilling) {
      const {request, prefillTokens, corrected, stopping} = running;
      if (running.prefillLeft > 0 || corrected) continue;
      running.corrected = true;
      running.prefillLeft = Math.max(0, promptOf(request) - prefillTokens);
      if (stopping) continue;
      this.tallies[request.class].prefillTokens += running.prefillLeft;
    }
  }

  /**
   * @param since - Milliseconds.
   * @returns Whether a request that was started before then has no token yet.
   */
  waitsSince(since: number): boolean {
    for (const {startedAt} of this.prefilling) {
      if (startedAt < since) return true;
    }
    return false;
  }

  /**
   * @returns Batch streams that are to stay and can be preempted, newest first.
   *     What may run only once cannot: it would look stopped and run on.
   */
  newestBatch(): readonly Running[] {
    return [...this.byId.values()]
      .filter(({request, stopping}) => request.class === 'batch' && !stopping)
      .filter(({request}) => request.preemptible !== false)
      .sort((a, b) => b.order - a.order);
  }

  private untally(running: Running): void {
    const {request} = running;
    const tally = this.tallies[request.class];
    tally.running -= 1;
    tally.kvTokens -= promptOf(request) + running.generated;
    tally.kvAtEnd -= request.promptTokens + request.maxTokens;
    if (running.prefilling) tally.prefillTokens -= running.prefillLeft;
    else tally.decoding -= 1;
  }
}
