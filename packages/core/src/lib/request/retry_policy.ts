/**
 * When a failed request is sent again: only where that is safe, while the
 * deadline allows it, never to the same target, and never more than a share of
 * all requests, so that an overload is not made worse by its own retries.
 */
import type {Refusal} from './refusal.js';

/** How retries are bounded. */
export interface RetryOptions {
  /** Retries per request, over some time. */
  readonly budgetShare: number;
  /** Retries that may be saved up. */
  readonly burst: number;
  /** Attempts at one request, the first included. */
  readonly maxAttempts: number;
  /** Time that an attempt needs to make sense, in milliseconds. */
  readonly minTimeLeftMs: number;
}

/** Retries add at most a tenth. */
export const DEFAULT_RETRY_OPTIONS: RetryOptions = {
  budgetShare: 0.1,
  burst: 10,
  maxAttempts: 3,
  minTimeLeftMs: 20,
};

/** What one request has been through. */
export interface AttemptState {
  readonly idempotent: boolean;
  /** Attempts made. */
  readonly attempts: number;
  /** Tokens of it have been passed on to the caller. */
  readonly streamed: boolean;
  /** Time left to its deadline, in milliseconds. */
  readonly timeLeftMs: number;
}

/** What is to be done about a failed attempt. */
export type RetryDecision =
  | {readonly retry: true}
  | {
      readonly retry: false;
      readonly why: 'final' | 'unsafe' | 'attempts' | 'deadline' | 'budget';
    };

/** Refusals that another target may not share. */
const WORTH_RETRYING: ReadonlySet<Refusal['kind']> = new Set([
  'overloaded',
  'no-target',
  'leaving',
  'fenced',
  'target-lost',
  'engine-failed',
  'internal',
]);

/** A token bucket that fills with requests, not with time. */
export class RetryPolicy {
  private budget: number;

  /** @param options - The bounds. */
  constructor(private readonly options: RetryOptions = DEFAULT_RETRY_OPTIONS) {
    this.budget = options.burst;
  }

  /** A request came in: it earns a share of a retry. */
  requested(): void {
    const {budgetShare, burst} = this.options;
    this.budget = Math.min(burst, this.budget + budgetShare);
  }

  /**
   * Decides about one failed attempt; a retry that it grants is paid for.
   *
   * @param refusal - How the attempt failed.
   * @param state - What the request has been through.
   * @returns Whether to send it again, to another target.
   */
  decide(refusal: Refusal, state: AttemptState): RetryDecision {
    const why = this.objection(refusal, state);
    if (why !== undefined) return {retry: false, why};
    if (this.budget < 1) return {retry: false, why: 'budget'};
    this.budget -= 1;
    return {retry: true};
  }

  private objection(
    refusal: Refusal,
    state: AttemptState,
  ): 'final' | 'unsafe' | 'attempts' | 'deadline' | undefined {
    if (!WORTH_RETRYING.has(refusal.kind)) return 'final';
    // What may have run and is not idempotent could run twice; what was
    // streamed in part would reach its caller with a second beginning.
    const mayRunTwice = refusal.ran === 'may-have-run' && !state.idempotent;
    if (mayRunTwice || state.streamed) return 'unsafe';
    if (state.attempts >= this.options.maxAttempts) return 'attempts';
    const {minTimeLeftMs} = this.options;
    return state.timeLeftMs < minTimeLeftMs ? 'deadline' : undefined;
  }
}
