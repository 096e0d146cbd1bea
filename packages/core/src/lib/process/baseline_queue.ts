/**
 * Estimates when online requests would get their first token without batch
 * work (the baseline). An engine prefills prompts one after the other, so a
 * delay propagates to the prompts queued behind. This queue simulates the
 * prompts as if batch work caused no delay.
 */

/** What an online request costs an engine that runs no batch work. */
export interface BaselineDemand {
  /** Time to prefill the prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Maximum prefill time within one engine step, in milliseconds. */
  readonly largestPrefillMs: number;
  /** Duration of a step that only decodes, in milliseconds. */
  readonly decodeMs: number;
  /** Whether other online streams are being decoded. */
  readonly decoding: boolean;
}

/** Estimate for a request without batch work. */
interface BaselineEstimate {
  /** Time from arrival to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time that its prefill occupies the engine, in milliseconds. */
  readonly serviceMs: number;
}

/** Simulates the prefill queue of an engine that runs online work only. */
export class BaselineQueue {
  /** Time at which the simulated queue becomes empty, in milliseconds. */
  private busyUntil = 0;
  private readonly estimates = new Map<string, BaselineEstimate>();

  /**
   * Adds an online request to the simulated queue.
   *
   * @param id - The ID of the request that arrived.
   * @param demand - What it costs the engine.
   * @param now - Time in milliseconds.
   */
  arrived(id: string, demand: BaselineDemand, now: number): void {
    const {prefillMs, decodeMs} = demand;
    const stepShare = prefillMs / Math.max(1, demand.largestPrefillMs);
    const queued = this.busyUntil > now;
    // A queued prompt shares its first and its last step with the prompts
    // before and after it, so it counts fractions of steps.
    const steps = queued ? stepShare : Math.max(1, Math.ceil(stepShare));
    // On average, half of the step in progress is left.
    const residualMs = demand.decoding ? decodeMs / 2 : 0;
    const startMs = Math.max(now + residualMs, this.busyUntil);
    const serviceMs = prefillMs + steps * decodeMs;
    this.busyUntil = startMs + serviceMs;
    const firstTokenMs = this.busyUntil - now;
    this.estimates.set(id, {firstTokenMs, serviceMs});
  }

  /**
   * Removes an online request that got its first token.
   *
   * @param id - The ID of the request.
   * @returns The estimated time to first token without batch work, in
   *     milliseconds since arrival; undefined for an unknown request.
   */
  firstToken(id: string): number | undefined {
    const estimate = this.estimates.get(id);
    this.estimates.delete(id);
    return estimate?.firstTokenMs;
  }

  /**
   * Removes an online request that ended without a first token, and the time
   * that it would have taken.
   *
   * @param id - The ID of the request.
   */
  ended(id: string): void {
    const estimate = this.estimates.get(id);
    if (estimate === undefined) return;
    this.estimates.delete(id);
    this.busyUntil -= estimate.serviceMs;
  }
}
