/**
 * Max-min fair division of a capacity: nobody gets more than it asks for, and
 * what is left is divided among the others in proportion to their weights. No
 * claim can be raised without lowering one that gets less for its weight.
 */

/** Claim of one party on a shared capacity. */
export interface ShareClaim {
  /** What it asks for, in the unit of the capacity. */
  readonly demand: number;
  /** Its weight relative to the other claims; greater than 0. */
  readonly weight: number;
}

/**
 * @param claims - All claims.
 * @param capacity - What there is to divide, in the unit of the claims.
 * @returns What a claim is entitled to for each unit of its weight; `Infinity`
 *     if the capacity is enough for all of them.
 */
export function maxMinLevel(
  claims: readonly ShareClaim[],
  capacity: number,
): number {
  const sorted = claims
    .map(({demand, weight}) => ({demand, weight, level: demand / weight}))
    .sort((a, b) => a.level - b.level);
  let left = Math.max(0, capacity);
  let weights = sorted.reduce((sum, {weight}) => sum + weight, 0);
  for (const {demand, weight, level} of sorted) {
    if (level * weights > left) return left / weights;
    left -= demand;
    weights -= weight;
  }
  return Infinity;
}
