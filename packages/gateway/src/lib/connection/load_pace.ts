/**
 * How often loads are told, so that a host's messages stay within a bound
 * however many hosts there are. Hosts of the same data centre share the targets
 * that are used most, so they hear more often than others.
 */

/** How often loads are told. */
export interface LoadPaceOptions {
  /** The least time between two messages to a host, in milliseconds. */
  readonly periodMs: number;
  /** Datagrams that one host sends a second at the most. */
  readonly maxDatagramsPerSecond: number;
}

/** Least times between two messages to a host, in milliseconds. */
export interface LoadSpacing {
  /** To hosts of the same data centre. */
  readonly nearMs: number;
  readonly farMs: number;
}

/** Of what a host may send, so much goes to its own data centre at the most. */
const NEAR_SHARE = 0.8;
const MS_PER_SECOND = 1000;

/**
 * @param near - How many hosts the own data centre has beside this one.
 * @param far - How many hosts the other data centres have.
 * @param options - The bound, and the least time.
 * @returns How far apart messages are.
 */
export function loadSpacing(
  near: number,
  far: number,
  {periodMs, maxDatagramsPerSecond}: LoadPaceOptions,
): LoadSpacing {
  const all = spacingMs(near + far, maxDatagramsPerSecond);
  if (all <= periodMs) return {nearMs: periodMs, farMs: periodMs};
  const forNear = far === 0 ? 1 : NEAR_SHARE;
  const nearMs = Math.max(
    periodMs,
    spacingMs(near, maxDatagramsPerSecond * forNear),
  );
  const used = (near * MS_PER_SECOND) / nearMs;
  return {nearMs, farMs: spacingMs(far, maxDatagramsPerSecond - used)};
}

function spacingMs(hosts: number, perSecond: number): number {
  return (hosts * MS_PER_SECOND) / perSecond;
}
