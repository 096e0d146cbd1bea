/** How much callers ask for, when, and what it costs. */

/** A time with its own rate of online requests, in a cycle of such times. */
export interface RatePhase {
  readonly forMs: number;
  /** Share of the usual rate. */
  readonly share: number;
}

/** The load of a run. */
export interface LoadShape {
  /** Between two online requests to a program at the usual rate, in ms. */
  readonly onlinePauseMs: number;
  /** The cycle of rates; it begins anew when it is over. */
  readonly phases: readonly RatePhase[];
  /** Between two batch jobs, in milliseconds. */
  readonly jobPauseMs: number;
  readonly mostItems: number;
  /** Number of first parts that the prompts of items draw from. */
  readonly itemParts: number;
  /** Slots of each server. */
  readonly slots: number;
  /** Between two events of a stream, in milliseconds. */
  readonly eventMs: number;
}

/** The loads that a run can have. */
export const LOAD_SHAPES = {
  /** Nearly all slots are in use all the time. */
  steady: {
    onlinePauseMs: 25,
    phases: [{forMs: 1000, share: 1}],
    jobPauseMs: 700,
    mostItems: 5,
    itemParts: 1,
    slots: 6,
    eventMs: 20,
  },
  /** Bursts of online requests, with free slots between them; larger jobs. */
  bursts: {
    onlinePauseMs: 160,
    phases: [
      {forMs: 3600, share: 0.391},
      {forMs: 2400, share: 1.91},
    ],
    jobPauseMs: 380,
    mostItems: 19,
    itemParts: 30,
    slots: 8,
    eventMs: 60,
  },
} as const satisfies Readonly<Record<string, LoadShape>>;

/** Name of a load. */
export type LoadShapeName = keyof typeof LOAD_SHAPES;

/**
 * @param shape - The load.
 * @param sinceMs - Time since it began, in milliseconds.
 * @returns Between two online requests to a program then, in milliseconds.
 */
export function onlinePauseAt(
  {onlinePauseMs, phases}: LoadShape,
  sinceMs: number,
): number {
  const cycleMs = phases.reduce((sum, {forMs}) => sum + forMs, 0);
  let leftMs = sinceMs % cycleMs;
  for (const {forMs, share} of phases) {
    if (leftMs < forMs) return onlinePauseMs / share;
    leftMs -= forMs;
  }
  return onlinePauseMs;
}
