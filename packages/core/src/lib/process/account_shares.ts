/**
 * Decides, while a service has less room than is asked for, which client
 * accounts exceed their fair share.
 *
 * Guards against one account that sends several times its usual load while all
 * slots are in use: requests are then refused in proportion to how many arrive,
 * so the callers of all other accounts pay for the flood. Demand and use are
 * measured in slots, the time at a target per time, over about one second.
 *
 * The room is not known in the same unit: run times are estimates, and some
 * requests start without being asked for here. What was granted lately,
 * compared to what is in flight, gives the scale: while all slots are in use,
 * the grants of the last second are the room.
 */
import {DecayedSum} from './decayed_sum.js';
import {
  divideRoom,
  LOWEST_SHARE_PRIORITY,
  MIN_SHARE_SLOTS,
  NEGLIGIBLE_SLOTS,
  shareIn,
  type AccountClaim,
  type ShareDivision,
} from './share_division.js';

/** A request that asks for a slot. */
export interface ShareAsk {
  /** Name of the client account. */
  readonly account: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Weight of the account; undefined, or not a positive number, for the mean of
   * the others.
   */
  readonly weight: number | undefined;
  /** Expected time of the request at a target, in milliseconds. */
  readonly costMs: number;
  /** Whether the request has been counted as demand before. */
  readonly isRepeated: boolean;
  /** Whether its caller has come back after a refusal, for the last time. */
  readonly isReturning: boolean;
}

/** Slots that the requests compete for. */
export interface ServiceRoom {
  /** Number of slots of the usable targets. */
  readonly slots: number;
  /** Number of online requests in flight there, including queued ones. */
  readonly online: number;
}

/** Share of one account, in slots. */
export interface ShareFigures {
  /** What the account has used lately. */
  readonly use: number;
  /** What it is entitled to. */
  readonly share: number;
  /** What all accounts have used lately. */
  readonly room: number;
}

/** Whether an account may use more slots. */
export type ShareVerdict =
  /** It is below its share, or nobody else needs the room. */
  | {readonly kind: 'in-share'; readonly isContended: boolean}
  /** It may only use slots that are not needed by accounts below theirs. */
  | {
      readonly kind: 'over-share';
      readonly figures: ShareFigures;
      /** Number of free slots that it must leave to the others. */
      readonly reserve: number;
    };

/** Demand and use of one account, in slots. */
export interface AccountUse {
  readonly account: string;
  readonly demand: number;
  readonly use: number;
}

interface Entry {
  readonly account: string;
  readonly priority: number;
  readonly demand: DecayedSum;
  readonly use: DecayedSum;
  weight: number | undefined;
}

/**
 * Demand and use are measured over this time in milliseconds, or over a run if
 * that is longer: it must cover the time for which a request uses its slot.
 */
const MIN_MEMORY_MS = 1000;
/** Bounds of the expected time of a request, in milliseconds. */
const MIN_COST_MS = 1;
const MAX_COST_MS = 60_000;
/** Expected time of a request if it is unknown, in milliseconds. */
const DEFAULT_COST_MS = 500;
/**
 * Interval at which the room is divided anew, in milliseconds: short compared
 * to the time over which demand is measured.
 */
const DIVISION_INTERVAL_MS = 25;
/**
 * Factor by which returning requests may exceed the share of their account. New
 * requests of the account are refused until it is below its share again: they
 * can come back, returning ones cannot.
 */
const RETURNING_SHARE_FACTOR = 1.25;
/**
 * Number of accounts whose demand and use are known one by one. Beyond twice as
 * many, the accounts with the lowest demand are dropped to this number. They
 * are only known as a sum, and are within their share.
 */
const KEPT_ENTRIES = 500;

const IN_SHARE: ShareVerdict = {kind: 'in-share', isContended: false};
const IN_SHARE_CONTENDED: ShareVerdict = {kind: 'in-share', isContended: true};

/** Demand and use of the client accounts of one service. */
export class AccountShares {
  private readonly entries = new Map<string, Entry>();
  private readonly totalDemand = new DecayedSum();
  private readonly totalUse = new DecayedSum();
  private memoryMs = MIN_MEMORY_MS;
  private division: ShareDivision | undefined;
  private dividedAt = -Infinity;

  /** Number of accounts that are known one by one. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Counts the demand of a request and decides whether its account may use more
   * slots.
   *
   * @param ask - The request.
   * @param room - Slots of the service.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The verdict.
   */
  ask(ask: ShareAsk, room: ServiceRoom, now: number): ShareVerdict {
    const slots = this.slotsOf(ask.costMs);
    const division = this.divide(room, now);
    const entry = this.entryOf(ask);
    if (!ask.isRepeated) this.addDemand(entry, slots, now);
    if (division.levels.length === 0) return IN_SHARE;
    const share = shareIn(division, entry);
    const use = entry.use.valueAt(now, this.memoryMs);
    const factor = ask.isReturning ? RETURNING_SHARE_FACTOR : 1;
    if (use < share * factor) return IN_SHARE_CONTENDED;
    const {reserve} = division;
    const figures = {use, share, room: division.room};
    return {kind: 'over-share', figures, reserve};
  }

  /**
   * Counts the use of a request that was granted a slot.
   *
   * @param ask - The request.
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  grant(ask: ShareAsk, now: number): void {
    const {memoryMs} = this;
    const entry = this.entryOf(ask);
    const slots = this.slotsOf(ask.costMs);
    entry.use.add(slots, now, memoryMs);
    this.totalUse.add(slots, now, memoryMs);
    // The request may have been counted as demand elsewhere, or may run twice.
    const missing =
      entry.use.valueAt(now, memoryMs) - entry.demand.valueAt(now, memoryMs);
    if (missing > 0) this.addDemand(entry, missing, now);
  }

  /**
   * Takes back the demand of a request that got a slot elsewhere, where it is
   * counted.
   *
   * @param ask - The request.
   * @param now - Time on a monotonic clock, in milliseconds.
   */
  passOn(ask: ShareAsk, now: number): void {
    this.addDemand(this.entryOf(ask), -this.slotsOf(ask.costMs), now);
  }

  /**
   * @param count - Maximum number of accounts.
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The accounts that have used most, the largest first.
   */
  largest(count: number, now: number): readonly AccountUse[] {
    return [...this.entries.values()]
      .map(({account, demand, use}) => ({
        account,
        demand: demand.valueAt(now, this.memoryMs),
        use: use.valueAt(now, this.memoryMs),
      }))
      .sort((a, b) => b.use - a.use)
      .slice(0, count);
  }

  /**
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns Demand and use of all accounts together, in slots.
   */
  total(now: number): Omit<AccountUse, 'account'> {
    return {
      demand: this.totalDemand.valueAt(now, this.memoryMs),
      use: this.totalUse.valueAt(now, this.memoryMs),
    };
  }

  private addDemand({demand}: Entry, slots: number, now: number): void {
    demand.add(slots, now, this.memoryMs);
    this.totalDemand.add(slots, now, this.memoryMs);
  }

  private entryOf({account, priority, weight}: ShareAsk): Entry {
    const rank = Math.min(priority, LOWEST_SHARE_PRIORITY);
    const key = `${rank} ${account}`;
    const known = this.entries.get(key);
    if (known) {
      known.weight = weight;
      return known;
    }
    const demand = new DecayedSum();
    const use = new DecayedSum();
    const entry = {account, priority: rank, demand, use, weight};
    this.entries.set(key, entry);
    return entry;
  }

  /** Converts the time of one request into slots in use over the memory. */
  private slotsOf(costMs: number): number {
    const cost = Number.isFinite(costMs)
      ? Math.min(Math.max(MIN_COST_MS, costMs), MAX_COST_MS)
      : DEFAULT_COST_MS;
    this.memoryMs = Math.max(MIN_MEMORY_MS, cost);
    return cost / this.memoryMs;
  }

  private divide({slots, online}: ServiceRoom, now: number): ShareDivision {
    if (this.division && now - this.dividedAt < DIVISION_INTERVAL_MS)
      return this.division;
    const claims = this.claims(now);
    const {demand, use} = this.total(now);
    const room = online > 0 ? (use * slots) / online : Infinity;
    this.division = divideRoom(claims, {demand, room, slots});
    this.dividedAt = now;
    return this.division;
  }

  /**
   * Drops idle accounts, and the smallest ones if there are too many.
   *
   * @returns Claims of the accounts that may be limited.
   */
  private claims(now: number): readonly AccountClaim[] {
    const active = [];
    for (const [key, entry] of this.entries) {
      const demand = entry.demand.valueAt(now, this.memoryMs);
      const {priority, weight} = entry;
      if (demand < NEGLIGIBLE_SLOTS) this.entries.delete(key);
      else active.push({key, priority, weight, demand});
    }
    if (active.length > 2 * KEPT_ENTRIES) {
      active.sort((a, b) => b.demand - a.demand);
      for (const {key} of active.splice(KEPT_ENTRIES)) this.entries.delete(key);
    }
    return active.filter(({demand}) => demand > MIN_SHARE_SLOTS);
  }
}
