/**
 * How long something online may take beside batch work. What holds the p99
 * alone leaves the whole distribution below it to batch work; what holds the
 * p50 and p95 as well leaves little. The declared weight lies between.
 */
import type {BatchPolicy} from '../version/target_config.js';

/**
 * A distribution keeps its quantiles as long as nothing crosses one of them: a
 * duration may grow up to the next one above it.
 *
 * @param aloneMs - How long it takes without batch work, in milliseconds.
 * @param quantiles - The quantiles to be held, ascending, in milliseconds.
 * @returns How long it may take, in milliseconds.
 */
export function withinQuantiles(
  aloneMs: number,
  quantiles: readonly number[],
): number {
  return quantiles.find(quantile => quantile >= aloneMs) ?? aloneMs;
}

/**
 * @param policy - What the deployment declared.
 * @param aloneMs - How long it takes without batch work, in milliseconds.
 * @param quantiles - The quantiles that online work has alone, ascending, in
 *     milliseconds.
 * @returns How long it may take, accepted harm left out, in milliseconds.
 */
export function allowedMs(
  {throughputWeight}: BatchPolicy,
  aloneMs: number,
  quantiles: readonly number[],
): number {
  const least = withinQuantiles(aloneMs, quantiles);
  const most = Math.max(least, quantiles.at(-1) ?? 0);
  // A step grows with its streams and soon holds all that an engine runs, so
  // that in proportion most of the weight's range would do nothing.
  return least + (most - least) * throughputWeight ** 2;
}

/**
 * @param policy - What the deployment declared.
 * @param margin - Share of the accepted harm that is planned for.
 * @returns The ratio to online alone that is planned for.
 */
export function plannedHarm(
  {throughputWeight, maxHarm}: BatchPolicy,
  margin: number,
): number {
  return 1 + (maxHarm - 1) * margin * throughputWeight;
}
