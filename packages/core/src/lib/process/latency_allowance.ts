/**
 * Computes how long a step or first token of online work may take beside batch
 * work. Protecting only the p99 leaves the whole distribution below it to batch
 * work; protecting the p50 and p95 as well leaves little. The configured
 * throughput weight interpolates between the two.
 */
import type {BatchPolicy} from '../version/target_config.js';

/**
 * Returns the longest duration that keeps the quantiles of a distribution. They
 * do not change as long as no duration crosses one of them, so a duration may
 * grow up to the next quantile above it.
 *
 * @param baselineMs - The duration without batch work, in milliseconds.
 * @param quantiles - The quantiles to protect, ascending, in milliseconds.
 * @returns The next quantile, in milliseconds; the baseline itself if it is
 *     above all of them.
 */
export function roundUpToQuantile(
  baselineMs: number,
  quantiles: readonly number[],
): number {
  return quantiles.find(quantile => quantile >= baselineMs) ?? baselineMs;
}

/**
 * Returns how long a step or first token may take at the configured throughput
 * weight, before the accepted slowdown is applied.
 *
 * @param policy - The configured batch policy.
 * @param baselineMs - The duration without batch work, in milliseconds.
 * @param quantiles - The quantiles of online work without batch work,
 *     ascending, in milliseconds.
 * @returns The allowed duration, in milliseconds.
 */
export function allowedDurationMs(
  {throughputWeight}: BatchPolicy,
  baselineMs: number,
  quantiles: readonly number[],
): number {
  const minMs = roundUpToQuantile(baselineMs, quantiles);
  const maxMs = Math.max(minMs, quantiles.at(-1) ?? 0);
  // The weight is squared because a step reaches the maximum number of streams
  // of an engine early: with a linear weight, most of its range would have no
  // effect.
  return minMs + (maxMs - minMs) * throughputWeight ** 2;
}

/**
 * @param policy - The configured batch policy.
 * @param margin - Share of the accepted slowdown that is planned for.
 * @returns The planned ratio of online latency to its baseline, at least 1.
 */
export function plannedSlowdown(
  {throughputWeight, maxHarm}: BatchPolicy,
  margin: number,
): number {
  return 1 + (maxHarm - 1) * margin * throughputWeight;
}
