/**
 * Retry policy. A failed request is sent again only where that is safe, while
 * the deadline permits, never to the same target, and only within a retry
 * budget that is a fraction of all requests, so that retries do not amplify an
 * overload.
 */
import type {Refusal} from './refusal.js';

/** Limits of retries. */
export interface RetryOptions {
  /** Retries per request, as a long-term average. */
  readonly budgetShare: number;
  /** Maximum number of retries that can accumulate. */
  readonly burst: number;
  /** Maximum number of attempts at one request, including the first. */
  readonly maxAttempts: number;
  /** Minimum time to the deadline for another attempt, in milliseconds. */
  readonly minTimeLeftMs: number;
}

/** Default limits; retries add at most a tenth to the load. */
export const DEFAULT_RETRY_OPTIONS: RetryOptions = {
  budgetShare: 0.1,
  burst: 10,
  maxAttempts: 3,
  minTimeLeftMs: 20,
};

/** State of one request after a failed attempt. */
export interface AttemptState {
  readonly idempotent: boolean;
  /** Number of attempts so far. */
  readonly attempts: number;
  /** Whether tokens of the request have been forwarded to the caller. */
  readonly streamed: boolean;
  /** Time to the deadline, in milliseconds. */
  readonly timeLeftMs: number;
}

/** Decision on a failed attempt. */
export type RetryDecision =
  | {readonly retry: true}
  | {
      readonly retry: false;
      readonly why: 'final' | 'unsafe' | 'attempts' | 'deadline' | 'budget';
    };

/** Kinds of refusal that another target may not return. */
const RETRYABLE_KINDS: ReadonlySet<Refusal['kind']> = new Set([
  'overloaded',
  'no-target',
  'leaving',
  'fenced',
  'target-lost',
  'engine-failed',
  'internal',
]);

/** Token bucket that is filled by requests instead of by time. */
export class RetryPolicy {
  private budget: number;

  /** @param options - Limits of retries. */
  constructor(private readonly options: RetryOptions = DEFAULT_RETRY_OPTIONS) {
    this.budget = options.burst;
  }

  /** Adds the budget that a new request earns. */
  recordRequest(): void {
    const {budgetShare, burst} = this.options;
    this.budget = Math.min(burst, this.budget + budgetShare);
  }

  /**
   * Decides on one failed attempt. A granted retry is deducted from the budget.
   *
   * @param refusal - Refusal of the failed attempt.
   * @param state - State of the request.
   * @returns Whether to send the request again, to another target.
   */
  decide(refusal: Refusal, state: AttemptState): RetryDecision {
    const why = this.denialReason(refusal, state);
    if (why !== undefined) return {retry: false, why};
    if (this.budget < 1) return {retry: false, why: 'budget'};
    this.budget -= 1;
    return {retry: true};
  }

  private denialReason(
    refusal: Refusal,
    state: AttemptState,
  ): 'final' | 'unsafe' | 'attempts' | 'deadline' | undefined {
    if (!RETRYABLE_KINDS.has(refusal.kind)) return 'final';
    // A request that may have run and is not idempotent could run twice. After
    // part of the answer was streamed, a retry would send its beginning to the
    // caller twice.
    const mayRunTwice = refusal.ran === 'may-have-run' && !state.idempotent;
    if (mayRunTwice || state.streamed) return 'unsafe';
    if (state.attempts >= this.options.maxAttempts) return 'attempts';
    const {minTimeLeftMs} = this.options;
    return state.timeLeftMs < minTimeLeftMs ? 'deadline' : undefined;
  }
}
