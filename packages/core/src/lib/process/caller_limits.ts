/**
 * Rate and concurrency limits of callers, shared among entries without a
 * message per request. Each entry starts with an equal share of each limit.
 * Periodically it publishes its own demand and receives the sum of the others,
 * from which, however late, it computes the share for its own traffic. If no
 * messages arrive, the equal shares still add up to the limit.
 */
import type {LimitSpec} from '../version/resource.js';
import type {Refusal} from '../request/refusal.js';
import {notRun} from '../request/refusal.js';

const MS_PER_SECOND = 1000;
/** Fraction of every limit that is divided equally, regardless of demand. */
const EQUAL_FRACTION = 0.1;
/**
 * Minimum burst of an entry, in requests, however small its share. Requests
 * arrive in bursts, and a bucket smaller than one request would refuse many of
 * them needlessly.
 */
const MIN_BURST = 3;
const DEMAND_SMOOTHING_MS = 5_000;

/** Demand of one caller at one entry, including refused requests. */
export interface CallerDemand {
  /** Per second. */
  readonly requests: number;
  /** Per second. */
  readonly tokens: number;
  /** Requests that are running now. */
  readonly concurrent: number;
}

/** Rates that are limited by token buckets. */
type RateKind = 'requests' | 'tokens';

interface Bucket {
  level: number;
  /** Exponentially decayed sum of recent demand. */
  demand: number;
}

interface CallerState {
  spec: LimitSpec;
  readonly buckets: Readonly<Record<RateKind, Bucket>>;
  concurrent: number;
  updatedAt: number;
  share: number;
  concurrentShare: number;
}

/** Limits of all callers at one entry. */
export class CallerLimits {
  private readonly byCaller = new Map<string, CallerState>();

  /** @param entryCount - Number of entries that share the limits. */
  constructor(private entryCount: number) {}

  /**
   * @param caller - Name of the caller.
   * @param spec - Declared limits, for all entries together.
   * @param now - Current time, in milliseconds.
   */
  setLimit(caller: string, spec: LimitSpec, now: number): void {
    const known = this.byCaller.get(caller);
    if (known !== undefined) {
      known.spec = spec;
      return;
    }
    const share = 1 / this.entryCount;
    this.byCaller.set(caller, {
      spec,
      buckets: {
        requests: {
          level: spec.requestsPerSecond * spec.burstSeconds * share,
          demand: 0,
        },
        tokens: {
          level: spec.tokensPerSecond * spec.burstSeconds * share,
          demand: 0,
        },
      },
      concurrent: 0,
      updatedAt: now,
      share,
      concurrentShare: share,
    });
  }

  /** @param caller - Name of a caller that no longer has limits. */
  remove(caller: string): void {
    this.byCaller.delete(caller);
  }

  /** @param count - New number of entries that share the limits. */
  setEntryCount(count: number): void {
    for (const state of this.byCaller.values()) {
      state.share *= this.entryCount / count;
      state.concurrentShare *= this.entryCount / count;
    }
    this.entryCount = count;
  }

  /**
   * Admits or refuses one request. An admitted request consumes its tokens.
   *
   * @param caller - Name of the caller.
   * @param tokens - Prompt tokens plus the maximum of generated tokens.
   * @param now - Current time, in milliseconds.
   * @returns The refusal, or undefined if the request is admitted; then {@link
   *     CallerLimits.release} must be called when it ends.
   */
  admit(caller: string, tokens: number, now: number): Refusal | undefined {
    const state = this.byCaller.get(caller);
    if (state === undefined) return undefined;
    this.refill(state, now);
    const {requests, tokens: tokenBucket} = state.buckets;
    requests.demand += 1;
    tokenBucket.demand += tokens;
    const maxConcurrent = state.spec.concurrent * state.concurrentShare;
    if (state.concurrent >= Math.max(1, Math.round(maxConcurrent))) {
      return rateLimited('Too many requests at once.', MS_PER_SECOND);
    }
    // A share can be less than one request, and a request larger than a whole
    // bucket. Each is admitted while the level is positive and may leave it
    // negative.
    if (requests.level <= 0 || tokenBucket.level <= 0) {
      return rateLimited('Over the declared rate.', retryDelayMs(state));
    }
    requests.level -= 1;
    tokenBucket.level -= tokens;
    state.concurrent += 1;
    return undefined;
  }

  /**
   * Releases the capacity of an admitted request.
   *
   * @param caller - Name of the caller.
   * @param unusedTokens - Tokens that were consumed on admission but not
   *     generated; they are refunded.
   */
  release(caller: string, unusedTokens: number): void {
    const state = this.byCaller.get(caller);
    if (state === undefined) return;
    state.concurrent = Math.max(0, state.concurrent - 1);
    state.buckets.tokens.level += unusedTokens;
  }

  /**
   * @param caller - Name of the caller.
   * @returns Whether the caller has used most of its share at this entry. Only
   *     then is it worth a message to learn the share that other entries leave
   *     unused.
   */
  isNearLimit(caller: string): boolean {
    const state = this.byCaller.get(caller);
    if (state === undefined) return false;
    const {spec, share, buckets, concurrent} = state;
    const half = (rate: number) => (rate * share * spec.burstSeconds) / 2;
    return (
      buckets.requests.level < Math.max(1, half(spec.requestsPerSecond)) ||
      buckets.tokens.level < half(spec.tokensPerSecond) ||
      concurrent >= (spec.concurrent * share) / 2
    );
  }

  /**
   * @param now - Current time, in milliseconds.
   * @returns Recent demand at this entry of each caller with limits.
   */
  demand(now: number): ReadonlyMap<string, CallerDemand> {
    const demands = new Map<string, CallerDemand>();
    const perSecond = MS_PER_SECOND / DEMAND_SMOOTHING_MS;
    for (const [caller, state] of this.byCaller) {
      this.refill(state, now);
      const {requests, tokens} = state.buckets;
      demands.set(caller, {
        requests: requests.demand * perSecond,
        tokens: tokens.demand * perSecond,
        concurrent: state.concurrent,
      });
    }
    return demands;
  }

  /**
   * Applies the demand of a caller at all other entries, which may be delayed.
   *
   * @param caller - Name of the caller.
   * @param others - Sum over the other entries.
   * @param now - Current time, in milliseconds.
   */
  applyPeerDemand(caller: string, others: CallerDemand, now: number): void {
    const state = this.byCaller.get(caller);
    if (state === undefined) return;
    this.refill(state, now);
    const perSecond = MS_PER_SECOND / DEMAND_SMOOTHING_MS;
    const own = state.buckets.requests.demand * perSecond;
    state.share = this.shareOf(own, others.requests);
    state.concurrentShare = this.shareOf(state.concurrent, others.concurrent);
  }

  /** Divides a fixed fraction equally and the rest by demand. */
  private shareOf(own: number, others: number): number {
    const equal = 1 / this.entryCount;
    const total = own + others;
    const byDemand = total > 0 ? own / total : equal;
    return EQUAL_FRACTION * equal + (1 - EQUAL_FRACTION) * byDemand;
  }

  private refill(state: CallerState, now: number): void {
    const elapsed = Math.max(0, now - state.updatedAt);
    state.updatedAt = now;
    const seconds = elapsed / MS_PER_SECOND;
    const decayFactor = Math.exp(-elapsed / DEMAND_SMOOTHING_MS);
    const {spec, buckets, share} = state;
    refillBucket(
      buckets.requests,
      spec.requestsPerSecond * share,
      spec,
      seconds,
    );
    refillBucket(buckets.tokens, spec.tokensPerSecond * share, spec, seconds);
    buckets.requests.demand *= decayFactor;
    buckets.tokens.demand *= decayFactor;
  }
}

function refillBucket(
  bucket: Bucket,
  rate: number,
  spec: LimitSpec,
  seconds: number,
): void {
  const maxLevel = Math.max(MIN_BURST, rate * spec.burstSeconds);
  bucket.level = Math.min(maxLevel, bucket.level + rate * seconds);
}

function retryDelayMs({spec, share, buckets}: CallerState): number {
  const requests = -buckets.requests.level / (spec.requestsPerSecond * share);
  const tokens = -buckets.tokens.level / (spec.tokensPerSecond * share);
  return Math.ceil(Math.max(0, requests, tokens) * MS_PER_SECOND);
}

function rateLimited(message: string, retryAfterMs: number): Refusal {
  return notRun('rate-limited', message, Math.max(1, retryAfterMs));
}
