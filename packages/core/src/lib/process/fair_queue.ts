/**
 * A queue that is fair by caller and, within a caller, by deadline. Next is
 * whoever was served least lately for its weight, counted in tokens, so a
 * caller that sends ten times as much waits behind the others. What was served
 * is forgotten with the tokens served since, so nobody pays for long.
 */
import type {AdmissionRequest} from './admission.js';

/** A request in a queue. */
export interface Queued {
  readonly request: AdmissionRequest;
  /** When it was put in, in milliseconds. */
  readonly since: number;
}

interface CallerLine {
  readonly waiting: Queued[];
  /** Tokens that wait. */
  tokens: number;
  /** Tokens served lately, as of `servedAt`. */
  served: number;
  /** Tokens that all callers had been served by then. */
  servedAt: number;
}

/** Tokens served to all after which most of what was served is forgotten. */
const MEMORY_TOKENS = 200_000;
/** A caller's service below this is as good as none. */
const FORGOTTEN_TOKENS = 100;
/** Beyond its share by so little a caller is not yet ahead. */
const AHEAD = 1.1;

/**
 * @param request - A request.
 * @returns What it costs a target, in tokens.
 */
export function costOf(request: AdmissionRequest): number {
  return Math.max(1, request.promptTokens + request.maxTokens);
}

/** Waiting requests, taken in an order that is fair by caller. */
export class FairQueue {
  private readonly lines = new Map<string, CallerLine>();
  private readonly callerOf = new Map<string, string>();
  private weights: Readonly<Record<string, number>> = {};
  private servedToAll = 0;
  private tokensWaiting = 0;

  /** How many wait. */
  get size(): number {
    return this.callerOf.size;
  }

  /** The cost of all that wait, in tokens. */
  get tokens(): number {
    return this.tokensWaiting;
  }

  /** @param weights - Share of each caller; 1 where one is missing. */
  setWeights(weights: Readonly<Record<string, number>>): void {
    this.weights = weights;
  }

  /**
   * @param request - What has to wait.
   * @param now - Milliseconds.
   */
  add(request: AdmissionRequest, now: number): void {
    const line = this.lineOf(request.caller);
    const entry: Queued = {request, since: now};
    const after = line.waiting.findIndex(
      other => other.request.deadline > request.deadline,
    );
    if (after < 0) line.waiting.push(entry);
    else line.waiting.splice(after, 0, entry);
    line.tokens += costOf(request);
    this.tokensWaiting += costOf(request);
    this.callerOf.set(request.id, request.caller);
  }

  /** @returns What is to run next, left in place. */
  peek(): Queued | undefined {
    return this.inOrder()[0]?.waiting[0];
  }

  /**
   * @param fits - Whether a request can run now.
   * @param rank - Within a caller the highest goes first; else all are equal.
   * @returns The first in order that can, taken out and charged to its caller.
   */
  take(
    fits: (request: AdmissionRequest) => boolean = () => true,
    rank: (entry: Queued) => number = () => 0,
  ): Queued | undefined {
    for (const line of this.inOrder()) {
      let best: Queued | undefined;
      for (const entry of line.waiting) {
        if (best && rank(entry) <= rank(best)) continue;
        if (fits(entry.request)) best = entry;
      }
      if (best !== undefined) return this.takeFrom(line, best);
    }
    return undefined;
  }

  /**
   * @param id - A request.
   * @returns Whether it waited; it does no more.
   */
  remove(id: string): boolean {
    const caller = this.callerOf.get(id);
    if (caller === undefined) return false;
    const line = this.lineOf(caller);
    const at = line.waiting.findIndex(entry => entry.request.id === id);
    const [entry] = line.waiting.splice(at, 1);
    line.tokens -= costOf(entry!.request);
    this.tokensWaiting -= costOf(entry!.request);
    this.callerOf.delete(id);
    return true;
  }

  /**
   * Who has to go when the queue is full: the last of the caller that was
   * served most, with what it has waiting, for its weight.
   *
   * @param ahead - Only callers that have had more than their share.
   * @returns The request, left in place.
   */
  last(ahead = false): Queued | undefined {
    const least = ahead ? this.fairPart() * AHEAD : 0;
    let last: Queued | undefined;
    let most = Number.NEGATIVE_INFINITY;
    for (const [caller, line] of this.lines) {
      const entry = line.waiting.at(-1);
      const weight = this.weightOf(caller);
      const served = this.servedTo(line) / weight;
      const load = served + line.tokens / weight;
      if (entry === undefined || served < least || load <= most) continue;
      most = load;
      last = entry;
    }
    return last;
  }

  /** @returns All that wait, in no particular order. */
  *entries(): Iterable<Queued> {
    for (const line of this.lines.values()) yield* line.waiting;
  }

  /** Forgets callers that have nothing waiting and were not served lately. */
  compact(): void {
    for (const [caller, line] of this.lines) {
      if (line.waiting.length > 0) continue;
      if (this.servedTo(line) < FORGOTTEN_TOKENS) this.lines.delete(caller);
    }
  }

  private takeFrom(line: CallerLine, entry: Queued): Queued {
    const cost = costOf(entry.request);
    this.remove(entry.request.id);
    line.served = this.servedTo(line) + cost;
    this.servedToAll += cost;
    line.servedAt = this.servedToAll;
    return entry;
  }

  /** Callers with something waiting, least served first. */
  private inOrder(): readonly CallerLine[] {
    return [...this.lines]
      .filter(([, {waiting}]) => waiting.length > 0)
      .map(([caller, line]) => ({
        line,
        served: this.servedTo(line) / this.weightOf(caller),
      }))
      .sort((a, b) => a.served - b.served)
      .map(({line}) => line);
  }

  /** Tokens for a weight of 1, had all callers been served alike. */
  private fairPart(): number {
    let served = 0;
    let weights = 0;
    for (const [caller, line] of this.lines) {
      served += this.servedTo(line);
      weights += this.weightOf(caller);
    }
    return weights > 0 ? served / weights : 0;
  }

  private servedTo({served, servedAt}: CallerLine): number {
    return served * Math.exp((servedAt - this.servedToAll) / MEMORY_TOKENS);
  }

  private weightOf(caller: string): number {
    return Math.max(Number.EPSILON, this.weights[caller] ?? 1);
  }

  private lineOf(caller: string): CallerLine {
    let line = this.lines.get(caller);
    if (line === undefined) {
      const servedAt = this.servedToAll;
      line = {waiting: [], tokens: 0, served: 0, servedAt};
      this.lines.set(caller, line);
    }
    return line;
  }
}
