/**
 * Limits of callers, shared among entries without a message per request. An
 * entry begins with an equal share of each limit. Now and then it tells what was
 * asked of it, and learns the sum over the others; from the two, however late,
 * it works out the share that its own traffic deserves. What entries are never
 * told still adds up: equal shares need no message at all.
 */
import type {LimitSpec} from '../version/resource.js';
import type {Refusal} from '../request/refusal.js';
import {notRun} from '../request/refusal.js';

const MS_PER_SECOND = 1000;
/** Part of every limit that is shared out equally, whoever uses it. */
const EQUAL_PART = 0.1;
/**
 * Requests that an entry may save up, however small its share: requests come in
 * lumps, and a share of less than one would refuse many for no reason.
 */
const MIN_BURST = 3;
const DEMAND_SMOOTHING_MS = 5_000;

/** What one caller asks of one entry; refused requests count as well. */
export interface CallerUse {
  /** A second. */
  readonly requests: number;
  /** A second. */
  readonly tokens: number;
  /** Running now. */
  readonly concurrent: number;
}

/** The rates that are limited by token buckets. */
type Rate = 'requests' | 'tokens';

interface Bucket {
  level: number;
  /** Lately asked for. */
  asked: number;
}

interface CallerState {
  spec: LimitSpec;
  readonly buckets: Readonly<Record<Rate, Bucket>>;
  concurrent: number;
  updatedAt: number;
  share: number;
  concurrentShare: number;
}

/** The limits of all callers at one entry. */
export class CallerLimits {
  private readonly byCaller = new Map<string, CallerState>();

  /** @param entryCount - Entries that share the limits. */
  constructor(private entryCount: number) {}

  /**
   * @param caller - A caller.
   * @param spec - Its declared limits, for all entries together.
   * @param now - Milliseconds.
   */
  declare(caller: string, spec: LimitSpec, now: number): void {
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
          asked: 0,
        },
        tokens: {
          level: spec.tokensPerSecond * spec.burstSeconds * share,
          asked: 0,
        },
      },
      concurrent: 0,
      updatedAt: now,
      share,
      concurrentShare: share,
    });
  }

  /** @param caller - A caller without limits from now on. */
  remove(caller: string): void {
    this.byCaller.delete(caller);
  }

  /** @param count - Entries that share the limits from now on. */
  setEntryCount(count: number): void {
    for (const state of this.byCaller.values()) {
      state.share *= this.entryCount / count;
      state.concurrentShare *= this.entryCount / count;
    }
    this.entryCount = count;
  }

  /**
   * Asks for room for one request, and takes it when there is.
   *
   * @param caller - The caller.
   * @param tokens - Prompt tokens and the most that may be generated.
   * @param now - Milliseconds.
   * @returns The refusal, or undefined when the request may go on; then
   *     {@link CallerLimits.ended} must follow.
   */
  begin(caller: string, tokens: number, now: number): Refusal | undefined {
    const state = this.byCaller.get(caller);
    if (state === undefined) return undefined;
    this.refill(state, now);
    const {requests, tokens: tokenBucket} = state.buckets;
    requests.asked += 1;
    tokenBucket.asked += tokens;
    const most = state.spec.concurrent * state.concurrentShare;
    if (state.concurrent >= Math.max(1, Math.round(most))) {
      return limited('Too many requests at once.', MS_PER_SECOND);
    }
    // A share may be less than one request, and a request larger than a whole
    // bucket: each goes out while anything is left, and leaves a debt behind.
    if (requests.level <= 0 || tokenBucket.level <= 0) {
      return limited('Over the declared rate.', waitMs(state));
    }
    requests.level -= 1;
    tokenBucket.level -= tokens;
    state.concurrent += 1;
    return undefined;
  }

  /**
   * @param caller - The caller.
   * @param unusedTokens - Tokens asked for and not generated: given back.
   */
  ended(caller: string, unusedTokens: number): void {
    const state = this.byCaller.get(caller);
    if (state === undefined) return;
    state.concurrent = Math.max(0, state.concurrent - 1);
    state.buckets.tokens.level += unusedTokens;
  }

  /**
   * @param caller - A caller.
   * @returns Whether it has spent most of its share here: only then is it worth
   *     a message to learn what other entries leave unused.
   */
  isNear(caller: string): boolean {
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
   * @param now - Milliseconds.
   * @returns What limited callers asked of this entry lately.
   */
  use(now: number): ReadonlyMap<string, CallerUse> {
    const uses = new Map<string, CallerUse>();
    const perSecond = MS_PER_SECOND / DEMAND_SMOOTHING_MS;
    for (const [caller, state] of this.byCaller) {
      this.refill(state, now);
      const {requests, tokens} = state.buckets;
      uses.set(caller, {
        requests: requests.asked * perSecond,
        tokens: tokens.asked * perSecond,
        concurrent: state.concurrent,
      });
    }
    return uses;
  }

  /**
   * Takes what a caller asks of all other entries together, as of some time ago.
   *
   * @param caller - The caller.
   * @param others - The sum over the other entries.
   * @param now - Milliseconds.
   */
  learn(caller: string, others: CallerUse, now: number): void {
    const state = this.byCaller.get(caller);
    if (state === undefined) return;
    this.refill(state, now);
    const perSecond = MS_PER_SECOND / DEMAND_SMOOTHING_MS;
    const own = state.buckets.requests.asked * perSecond;
    state.share = this.shareOf(own, others.requests);
    state.concurrentShare = this.shareOf(state.concurrent, others.concurrent);
  }

  /** An equal part for everyone, the rest by use. */
  private shareOf(own: number, others: number): number {
    const equal = 1 / this.entryCount;
    const all = own + others;
    const byUse = all > 0 ? own / all : equal;
    return EQUAL_PART * equal + (1 - EQUAL_PART) * byUse;
  }

  private refill(state: CallerState, now: number): void {
    const elapsed = Math.max(0, now - state.updatedAt);
    state.updatedAt = now;
    const seconds = elapsed / MS_PER_SECOND;
    const keep = Math.exp(-elapsed / DEMAND_SMOOTHING_MS);
    const {spec, buckets, share} = state;
    fill(buckets.requests, spec.requestsPerSecond * share, spec, seconds);
    fill(buckets.tokens, spec.tokensPerSecond * share, spec, seconds);
    buckets.requests.asked *= keep;
    buckets.tokens.asked *= keep;
  }
}

function fill(
  bucket: Bucket,
  rate: number,
  spec: LimitSpec,
  seconds: number,
): void {
  const most = Math.max(MIN_BURST, rate * spec.burstSeconds);
  bucket.level = Math.min(most, bucket.level + rate * seconds);
}

function waitMs({spec, share, buckets}: CallerState): number {
  const requests = -buckets.requests.level / (spec.requestsPerSecond * share);
  const tokens = -buckets.tokens.level / (spec.tokensPerSecond * share);
  return Math.ceil(Math.max(0, requests, tokens) * MS_PER_SECOND);
}

function limited(message: string, retryAfterMs: number): Refusal {
  return notRun('rate-limited', message, Math.max(1, retryAfterMs));
}
