/**
 * Divides the room of a service among client accounts: the more urgent
 * priorities first, within a priority by max-min fair shares.
 */
import {maxMinLevel} from './max_min_share.js';

/** What one account asks for. */
export interface AccountClaim {
  /** 0 is the most urgent; at most {@link LOWEST_SHARE_PRIORITY}. */
  readonly priority: number;
  /** In slots. */
  readonly demand: number;
  /**
   * Weight relative to other accounts; undefined, or not a positive number, for
   * the mean of the others.
   */
  readonly weight: number | undefined;
}

/** How the room is divided. */
export interface ShareDivision {
  /** What there is to divide, in slots. */
  readonly room: number;
  /** Weight of the accounts without a valid one. */
  readonly defaultWeight: number;
  /** Slots for each unit of weight, by priority; empty without contention. */
  readonly levels: readonly number[];
  /**
   * Number of free slots that accounts over their share must leave to the
   * others.
   */
  readonly reserve: number;
}

/** Demand and room of a service, in slots. */
export interface ServiceDemand {
  /** Demand of all accounts, including those that claim nothing themselves. */
  readonly demand: number;
  /** What there is to divide. */
  readonly room: number;
  /** Number of slots of the usable targets. */
  readonly slots: number;
}

/** Demand below this is treated as none, in slots. */
export const NEGLIGIBLE_SLOTS = 0.01;
/** Priorities lower than this one (larger numbers) are treated like it. */
export const LOWEST_SHARE_PRIORITY = 4;
/**
 * An account that uses less than this is never over its share, in slots:
 * callers that send one request after another are always within it.
 */
export const MIN_SHARE_SLOTS = 1;
/**
 * Probability with which a request below its account's share may find no free
 * slot because accounts over theirs have taken the last one.
 */
const RESERVE_MISS_PROBABILITY = 0.05;
/** Maximum share of the slots that is kept free. */
const MAX_RESERVE_SHARE = 0.1;

/**
 * @param claims - Claims of the larger accounts. The others are never limited.
 * @param service - Demand and room of the service.
 * @returns The division.
 */
export function divideRoom(
  claims: readonly AccountClaim[],
  {demand, room, slots}: ServiceDemand,
): ShareDivision {
  const defaultWeight = meanWeight(claims.map(({weight}) => weight));
  const claimed = claims.reduce((sum, claim) => sum + claim.demand, 0);
  const unclaimed = Math.max(0, demand - claimed);
  const isAlone = claims.length <= 1 && unclaimed < NEGLIGIBLE_SLOTS;
  if (demand <= room || isAlone)
    return {room, defaultWeight, levels: [], reserve: 0};
  let left = room - unclaimed;
  let inShare = unclaimed;
  const levels: number[] = [];
  for (let priority = 0; priority <= LOWEST_SHARE_PRIORITY; priority++) {
    const peers = claims
      .filter(claim => claim.priority === priority)
      .map(({demand, weight}) => ({
        demand,
        weight: validWeight(weight) ?? defaultWeight,
      }));
    const level = maxMinLevel(peers, left);
    levels.push(level);
    for (const {demand, weight} of peers) {
      left -= Math.min(demand, level * weight);
      if (demand <= shareOf(level, weight)) inShare += demand;
    }
  }
  const reserve = reserveFor(inShare / room, slots);
  return {room, defaultWeight, levels, reserve};
}

/**
 * @param division - How the room is divided.
 * @param claim - Priority and weight of an account.
 * @returns What the account is entitled to, in slots; Infinity without
 *     contention.
 */
export function shareIn(
  {levels, defaultWeight}: ShareDivision,
  {priority, weight}: Pick<AccountClaim, 'priority' | 'weight'>,
): number {
  const level = levels[priority] ?? Infinity;
  return shareOf(level, validWeight(weight) ?? defaultWeight);
}

/**
 * @param weights - Weights of the accounts; undefined, or not a positive number,
 *     for the mean of the others.
 * @returns The weights in force, in the same order.
 */
export function sharingWeights(
  weights: ReadonlyArray<number | undefined>,
): readonly number[] {
  const defaultWeight = meanWeight(weights);
  return weights.map(weight => validWeight(weight) ?? defaultWeight);
}

function shareOf(level: number, weight: number): number {
  return Math.max(MIN_SHARE_SLOTS, level * weight);
}

function validWeight(weight: number | undefined): number | undefined {
  const isValid = weight !== undefined && Number.isFinite(weight) && weight > 0;
  return isValid ? weight : undefined;
}

function meanWeight(weights: ReadonlyArray<number | undefined>): number {
  const valid = weights.map(validWeight).filter(one => one !== undefined);
  if (valid.length === 0) return 1;
  return valid.reduce((sum, weight) => sum + weight, 0) / valid.length;
}

/**
 * Slots become free one after another, and requests of accounts below their
 * share take them at this fraction of that rate. The reserve is the length of a
 * run of such requests that is rare enough.
 */
function reserveFor(utilization: number, slots: number): number {
  const most = Math.floor(slots * MAX_RESERVE_SHARE);
  if (utilization <= 0) return 0;
  if (!(utilization < 1)) return most;
  const needed = Math.log(RESERVE_MISS_PROBABILITY) / Math.log(utilization);
  return Math.min(Math.ceil(needed), most);
}
