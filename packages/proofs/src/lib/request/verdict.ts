/** What can be wrong with how a piece of work went. */

/** Promises that can be broken. */
export const PROBLEMS = [
  'lost',
  'doubled',
  'wrong answer',
  'cut shown as finished',
  'untrue not-run',
  'ran twice',
  'kept running',
  'held up by batch',
  'cut by a planned stop',
  'work sent to a leaving target',
  'configuration reverted',
  'crashed again',
  'threw',
] as const;

/** A promise that can be broken. */
export type Problem = (typeof PROBLEMS)[number];

/** One broken promise. */
export interface Verdict {
  readonly problem: Problem;
  /** Which item, and what was seen. */
  readonly detail: string;
}

/**
 * @param problem - What is wrong.
 * @param detail - Which item, and what was seen.
 * @returns A verdict.
 */
export function broken(problem: Problem, detail: string): Verdict {
  return {problem, detail};
}
