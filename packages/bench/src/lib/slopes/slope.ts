/** A cost that was measured at several sizes, with the line through it. */

/** One measurement. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through measurements. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance from the line, as a share of the largest value. */
  readonly residual: number;
}

/** A cost that grows with a size. */
export interface Slope {
  readonly id: SlopeId;
  /** What it costs and what it grows with, such as "per open stream". */
  readonly title: string;
  /** Unit of the slope, such as "ms of a core". */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly line: Line;
}

/** Names one slope. */
export type SlopeId = string;

/**
 * Fits a line by least squares.
 *
 * @param points - Measurements at two or more sizes.
 * @returns The line.
 */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const covariance = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const variance = sum(points.map(({x}) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(({y}) => Math.abs(y)));
  const distances = points.map(({x, y}) => Math.abs(y - intercept - slope * x));
  const residual = largest === 0 ? 0 : Math.max(...distances) / largest;
  return {slope, intercept, residual};
}

/**
 * @param id - Names it.
 * @param title - What it costs and what it grows with.
 * @param unit - Unit of the slope.
 * @param points - Measurements.
 * @returns The slope.
 */
export function slopeOf(
  id: SlopeId,
  title: string,
  unit: string,
  points: readonly Point[],
): Slope {
  return {id, title, unit, points, line: fitLine(points)};
}

/**
 * @param values - Numbers, at least one.
 * @returns The one in the middle.
 */
export function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = sorted.length >> 1;
  if (sorted.length % 2 === 1) return sorted[middle]!;
  return (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
