/**
 * A weighted fair queue across callers, ordered by deadline within each caller.
 * The next request is taken from the caller that was recently served the fewest
 * tokens relative to its weight, so a caller that sends ten times as much waits
 * behind the others. Past service decays with the tokens served since, so a
 * burst does not penalize a caller for long.
 */
import type {AdmissionRequest} from './admission.js';

/** A queued request. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Time at which the request was queued, in milliseconds. */
  readonly since: number;
}

interface CallerQueue {
  readonly waiting: QueuedRequest[];
  /** Total cost of the queued requests, in tokens. */
  tokens: number;
  /** Decayed number of tokens served to the caller, as of `servedAt`. */
  served: number;
  /** Tokens served to all callers by then; the clock of the decay. */
  servedAt: number;
}

/** Decay constant of past service, in tokens served to all callers. */
const DECAY_TOKENS = 200_000;
/** Recent service of a caller below this is treated as none, in tokens. */
const NEGLIGIBLE_TOKENS = 100;
/** A caller counts as over its share beyond this multiple of the share. */
const OVER_SHARE_FACTOR = 1.1;

/**
 * @param request - A request.
 * @returns The maximum cost of the request, in prompt and output tokens.
 */
export function tokenCost(request: AdmissionRequest): number {
  return Math.max(1, request.promptTokens + request.maxTokens);
}

/** A queue of requests that is fair across callers. */
export class FairQueue {
  private readonly queues = new Map<string, CallerQueue>();
  private readonly callerById = new Map<string, string>();
  private weights: Readonly<Record<string, number>> = {};
  private totalServed = 0;
  private waitingTokens = 0;

  /** The number of queued requests. */
  get size(): number {
    return this.callerById.size;
  }

  /** Total cost of the queued requests, in tokens. */
  get tokens(): number {
    return this.waitingTokens;
  }

  /** @param weights - Weight by caller; the default is 1. */
  setWeights(weights: Readonly<Record<string, number>>): void {
    this.weights = weights;
  }

  /**
   * @param request - The request to queue.
   * @param now - Time in milliseconds.
   */
  add(request: AdmissionRequest, now: number): void {
    const queue = this.queueOf(request.caller);
    const entry: QueuedRequest = {request, since: now};
    const after = queue.waiting.findIndex(
      other => other.request.deadline > request.deadline,
    );
    if (after < 0) queue.waiting.push(entry);
    else queue.waiting.splice(after, 0, entry);
    queue.tokens += tokenCost(request);
    this.waitingTokens += tokenCost(request);
    this.callerById.set(request.id, request.caller);
  }

  /** @returns The next request, without removing it. */
  peek(): QueuedRequest | undefined {
    return this.leastServedFirst()[0]?.waiting[0];
  }

  /**
   * Removes the next request that can run and charges its cost to its caller.
   *
   * @param fits - Whether a request can run now.
   * @param rank - Sort key within one caller, highest first; requests of equal
   *     rank are taken by deadline.
   * @returns The request; undefined if none can run.
   */
  take(
    fits: (request: AdmissionRequest) => boolean = () => true,
    rank: (entry: QueuedRequest) => number = () => 0,
  ): QueuedRequest | undefined {
    for (const queue of this.leastServedFirst()) {
      let best: QueuedRequest | undefined;
      for (const entry of queue.waiting) {
        if (best && rank(entry) <= rank(best)) continue;
        if (fits(entry.request)) best = entry;
      }
      if (best !== undefined) return this.takeFrom(queue, best);
    }
    return undefined;
  }

  /**
   * @param id - The ID of the request to remove.
   * @returns Whether the request was queued.
   */
  remove(id: string): boolean {
    const caller = this.callerById.get(id);
    if (caller === undefined) return false;
    const queue = this.queueOf(caller);
    const at = queue.waiting.findIndex(entry => entry.request.id === id);
    const [entry] = queue.waiting.splice(at, 1);
    queue.tokens -= tokenCost(entry!.request);
    this.waitingTokens -= tokenCost(entry!.request);
    this.callerById.delete(id);
    return true;
  }

  /**
   * Finds the request to refuse when the queue is full: the one with the latest
   * deadline of the caller with the largest sum of recent service and queued
   * cost relative to its weight.
   *
   * @param overShareOnly - Considers only callers that were served more than
   *     their share.
   * @returns The request, without removing it.
   */
  shedCandidate(overShareOnly = false): QueuedRequest | undefined {
    const minServed = overShareOnly ? this.fairShare() * OVER_SHARE_FACTOR : 0;
    let candidate: QueuedRequest | undefined;
    let maxLoad = Number.NEGATIVE_INFINITY;
    for (const [caller, queue] of this.queues) {
      const entry = queue.waiting.at(-1);
      const weight = this.weightOf(caller);
      const served = this.recentlyServed(queue) / weight;
      const load = served + queue.tokens / weight;
      if (entry === undefined || served < minServed || load <= maxLoad)
        continue;
      maxLoad = load;
      candidate = entry;
    }
    return candidate;
  }

  /** @returns All queued requests, in no particular order. */
  *entries(): Iterable<QueuedRequest> {
    for (const queue of this.queues.values()) yield* queue.waiting;
  }

  /** Drops callers without queued requests and without recent service. */
  compact(): void {
    for (const [caller, queue] of this.queues) {
      if (queue.waiting.length > 0) continue;
      if (this.recentlyServed(queue) < NEGLIGIBLE_TOKENS)
        this.queues.delete(caller);
    }
  }

  private takeFrom(queue: CallerQueue, entry: QueuedRequest): QueuedRequest {
    const cost = tokenCost(entry.request);
    this.remove(entry.request.id);
    queue.served = this.recentlyServed(queue) + cost;
    this.totalServed += cost;
    queue.servedAt = this.totalServed;
    return entry;
  }

  /** The non-empty queues, least recent service per weight first. */
  private leastServedFirst(): readonly CallerQueue[] {
    return [...this.queues]
      .filter(([, {waiting}]) => waiting.length > 0)
      .map(([caller, queue]) => ({
        queue,
        served: this.recentlyServed(queue) / this.weightOf(caller),
      }))
      .sort((a, b) => a.served - b.served)
      .map(({queue}) => queue);
  }

  /**
   * The recent service in tokens that a caller of weight 1 would have had if
   * all had been served in proportion to their weights.
   */
  private fairShare(): number {
    let served = 0;
    let weights = 0;
    for (const [caller, queue] of this.queues) {
      served += this.recentlyServed(queue);
      weights += this.weightOf(caller);
    }
    return weights > 0 ? served / weights : 0;
  }

  private recentlyServed({served, servedAt}: CallerQueue): number {
    return served * Math.exp((servedAt - this.totalServed) / DECAY_TOKENS);
  }

  private weightOf(caller: string): number {
    return Math.max(Number.EPSILON, this.weights[caller] ?? 1);
  }

  private queueOf(caller: string): CallerQueue {
    let queue = this.queues.get(caller);
    if (queue === undefined) {
      const servedAt = this.totalServed;
      queue = {waiting: [], tokens: 0, served: 0, servedAt};
      this.queues.set(caller, queue);
    }
    return queue;
  }
}
