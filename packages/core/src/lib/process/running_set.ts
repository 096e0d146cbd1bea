/**
 * The requests at an engine or service. The totals that scheduling decisions
 * use are updated incrementally, so that no decision iterates over the streams.
 */
import type {AdmissionRequest} from './admission.js';
import type {ServeClass} from '../request/serve.js';

/**
 * Prefill beyond the estimate, in tokens, that indicates a miss in the engine's
 * prefix cache.
 */
export const CACHE_MISS_TOKENS = 128;

/** A request at the engine or service. */
export interface RunningRequest {
  readonly request: AdmissionRequest;
  /** Time at which it was sent to the engine, in milliseconds. */
  readonly startedAt: number;
  /** Arrival time before any queueing, in milliseconds. */
  readonly arrivedAt: number;
  /** Sequence number of the start. */
  readonly startOrder: number;
  /** Estimated number of tokens to prefill at the start. */
  readonly prefillTokens: number;
  /** Estimated number of tokens still to be prefilled. */
  prefillLeft: number;
  /** Whether the estimate was corrected for an assumed cache miss. */
  missAssumed: boolean;
  /** Whether its first token is still outstanding. */
  prefilling: boolean;
  /** Tokens generated in this run. */
  generated: number;
  /** Whether it was told to stop, which the engine has not confirmed yet. */
  stopping: boolean;
}

/** Totals over the requests of one class, without those that are stopping. */
export interface ClassTotals {
  /** Number of requests. */
  running: number;
  /** Number of requests that have got their first token. */
  decoding: number;
  /** Estimated tokens still to be prefilled. */
  prefillTokens: number;
  /** Tokens in the engine's KV cache. */
  kvTokens: number;
  /** Tokens in the engine's KV cache once all requests reach their maximum. */
  kvAtEnd: number;
}

function emptyTotals(): ClassTotals {
  return {
    running: 0,
    decoding: 0,
    prefillTokens: 0,
    kvTokens: 0,
    kvAtEnd: 0,
  };
}

function totalPromptTokens(request: AdmissionRequest): number {
  return request.promptTokens + request.resumedTokens;
}

/** The requests at one engine or service. */
export class RunningSet {
  private readonly byId = new Map<string, RunningRequest>();
  private readonly totals: Readonly<Record<ServeClass, ClassTotals>> = {
    online: emptyTotals(),
    batch: emptyTotals(),
  };
  private readonly prefilling = new Set<RunningRequest>();
  private started = 0;

  /** Number of requests, including those that are stopping. */
  get size(): number {
    return this.byId.size;
  }

  /** Whether a batch request that is not stopping is being prefilled. */
  get isPrefillingBatch(): boolean {
    const {running, decoding} = this.totals.batch;
    return running > decoding;
  }

  /** Whether any request is being prefilled. */
  get isPrefilling(): boolean {
    return this.prefilling.size > 0;
  }

  /** Totals over the online requests. */
  get online(): Readonly<ClassTotals> {
    return this.totals.online;
  }

  /** Totals over the batch requests, without those that are stopping. */
  get batch(): Readonly<ClassTotals> {
    return this.totals.batch;
  }

  /**
   * @param id - The ID of a request.
   * @returns The request; undefined if the engine does not hold it.
   */
  get(id: string): RunningRequest | undefined {
    return this.byId.get(id);
  }

  /** @returns All requests, oldest start first. */
  all(): Iterable<RunningRequest> {
    return this.byId.values();
  }

  /**
   * Adds a request that is sent to the engine.
   *
   * @param request - The request.
   * @param arrivedAt - Arrival time of the request, in milliseconds.
   * @param now - Time in milliseconds.
   * @param prefillTokens - Estimated number of tokens to prefill.
   */
  start(
    request: AdmissionRequest,
    arrivedAt: number,
    now: number,
    prefillTokens = totalPromptTokens(request),
  ): void {
    const running: RunningRequest = {
      request,
      startedAt: now,
      arrivedAt,
      startOrder: this.started,
      prefillTokens,
      prefillLeft: prefillTokens,
      missAssumed: false,
      prefilling: true,
      generated: 0,
      stopping: false,
    };
    this.started += 1;
    this.byId.set(request.id, running);
    this.prefilling.add(running);
    const totals = this.totals[request.class];
    totals.running += 1;
    totals.prefillTokens += prefillTokens;
    totals.kvTokens += totalPromptTokens(request);
    totals.kvAtEnd += request.promptTokens + request.maxTokens;
  }

  /**
   * Marks a request as prefilled.
   *
   * @param id - The ID of the request.
   * @returns The request; undefined if it was not being prefilled.
   */
  firstToken(id: string): RunningRequest | undefined {
    const running = this.byId.get(id);
    if (running === undefined || !running.prefilling) return undefined;
    running.prefilling = false;
    this.prefilling.delete(running);
    if (running.stopping) return running;
    const totals = this.totals[running.request.class];
    totals.prefillTokens -= running.prefillLeft;
    totals.decoding += 1;
    return running;
  }

  /**
   * Counts generated tokens of a request.
   *
   * @param id - The ID of the request.
   * @param count - Number of tokens.
   * @returns The request; undefined if the engine does not hold it.
   */
  tokens(id: string, count: number): RunningRequest | undefined {
    const running = this.byId.get(id);
    if (running === undefined) return undefined;
    running.generated += count;
    if (!running.stopping) {
      this.totals[running.request.class].kvTokens += count;
    }
    return running;
  }

  /**
   * Marks a request as stopping and removes it from the totals. The engine
   * still holds it and works on it until the current step ends.
   *
   * @param running - The request that is told to stop.
   */
  stop(running: RunningRequest): void {
    this.removeFromTotals(running);
    running.stopping = true;
  }

  /**
   * Removes a request that the engine no longer holds.
   *
   * @param id - The ID of the request.
   * @returns The request; undefined if the engine did not hold it.
   */
  end(id: string): RunningRequest | undefined {
    const running = this.byId.get(id);
    if (running === undefined) return undefined;
    this.byId.delete(id);
    this.prefilling.delete(running);
    if (!running.stopping) this.removeFromTotals(running);
    return running;
  }

  /**
   * Attributes prefilled tokens to requests in order of their start, which is
   * the order in which engines prefill.
   *
   * @param tokens - Number of tokens prefilled in a step, over all requests.
   * @returns The number of tokens of online prompts, and the number of tokens
   *     beyond the estimated remainder of all prompts.
   */
  recordPrefill(tokens: number): {
    readonly online: number;
    readonly unexpected: number;
  } {
    let left = tokens;
    let online = 0;
    for (const running of this.prefilling) {
      if (left <= 0) break;
      const done = Math.min(left, running.prefillLeft);
      running.prefillLeft -= done;
      left -= done;
      const {class: kind} = running.request;
      if (!running.stopping) this.totals[kind].prefillTokens -= done;
      if (kind === 'online') online += done;
    }
    if (left > CACHE_MISS_TOKENS) this.assumeCacheMiss();
    return {online, unexpected: left};
  }

  /**
   * Corrects the estimates after unexpected prefill. The engine prefilled more
   * than the estimated remainder, so prefixes that were assumed to be cached
   * are not. Requests without a first token are assumed to prefill them as
   * well.
   */
  private assumeCacheMiss(): void {
    for (const running of this.prefilling) {
      const {request, prefillTokens, missAssumed, stopping} = running;
      if (running.prefillLeft > 0 || missAssumed) continue;
      running.missAssumed = true;
      running.prefillLeft = Math.max(
        0,
        totalPromptTokens(request) - prefillTokens,
      );
      if (stopping) continue;
      this.totals[request.class].prefillTokens += running.prefillLeft;
    }
  }

  /**
   * @param time - Time in milliseconds.
   * @returns Whether a request that was started earlier is still being
   *     prefilled.
   */
  hasPrefillStartedBefore(time: number): boolean {
    for (const {startedAt} of this.prefilling) {
      if (startedAt < time) return true;
    }
    return false;
  }

  /**
   * @returns Batch streams that can be preempted and are not stopping, newest
   *     first. Requests that must not run twice are excluded: the target
   *     process does not carry out their preemption, so they would be counted
   *     as stopping while they keep running.
   */
  preemptibleBatch(): readonly RunningRequest[] {
    return [...this.byId.values()]
      .filter(({request, stopping}) => request.class === 'batch' && !stopping)
      .filter(({request}) => request.preemptible !== false)
      .sort((a, b) => b.startOrder - a.startOrder);
  }

  private removeFromTotals(running: RunningRequest): void {
    const {request} = running;
    const totals = this.totals[request.class];
    totals.running -= 1;
    totals.kvTokens -= totalPromptTokens(request) + running.generated;
    totals.kvAtEnd -= request.promptTokens + request.maxTokens;
    if (running.prefilling) totals.prefillTokens -= running.prefillLeft;
    else totals.decoding -= 1;
  }
}
