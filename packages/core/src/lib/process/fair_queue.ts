/**
 * A queue that is fair by caller and, within a caller, by deadline: start-time
 * fair queueing, where the cost of a request is its tokens. A caller that sends
 * ten times as much waits behind itself, not in front of the others.
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
  /** Virtual time at which the caller's next request may start. */
  virtualStart: number;
  tokens: number;
}

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
  private virtualTime = 0;
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
    if (line.waiting.length === 0) {
      line.virtualStart = Math.max(line.virtualStart, this.virtualTime);
    }
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
    return this.nextLine()?.waiting[0];
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
    const lines = [...this.lines.values()]
      .filter(({waiting}) => waiting.length > 0)
      .sort((a, b) => a.virtualStart - b.virtualStart);
    for (const line of lines) {
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
   * Who has to go when the queue is full: the last of the caller whose turn
   * would come last, for what it was served and has waiting.
   *
   * @returns The request, left in place.
   */
  last(): Queued | undefined {
    let last: Queued | undefined;
    let latest = Number.NEGATIVE_INFINITY;
    for (const [caller, line] of this.lines) {
      const entry = line.waiting.at(-1);
      const finish = line.virtualStart + line.tokens / this.weightOf(caller);
      if (entry === undefined || finish <= latest) continue;
      latest = finish;
      last = entry;
    }
    return last;
  }

  /** @returns All that wait, in no particular order. */
  *entries(): Iterable<Queued> {
    for (const line of this.lines.values()) yield* line.waiting;
  }

  /** Forgets callers that have nothing waiting and are owed nothing. */
  compact(): void {
    for (const [caller, line] of this.lines) {
      const idle = line.waiting.length === 0;
      if (idle && line.virtualStart <= this.virtualTime) {
        this.lines.delete(caller);
      }
    }
  }

  private takeFrom(line: CallerLine, entry: Queued): Queued {
    const {request} = entry;
    this.virtualTime = Math.max(this.virtualTime, line.virtualStart);
    this.remove(request.id);
    line.virtualStart += costOf(request) / this.weightOf(request.caller);
    return entry;
  }

  private nextLine(): CallerLine | undefined {
    let next: CallerLine | undefined;
    for (const line of this.lines.values()) {
      if (line.waiting.length === 0) continue;
      if (next === undefined || line.virtualStart < next.virtualStart) {
        next = line;
      }
    }
    return next;
  }

  private weightOf(caller: string): number {
    return this.weights[caller] ?? 1;
  }

  private lineOf(caller: string): CallerLine {
    let line = this.lines.get(caller);
    if (line === undefined) {
      line = {waiting: [], virtualStart: this.virtualTime, tokens: 0};
      this.lines.set(caller, line);
    }
    return line;
  }
}
