/** Refusals that list every problem of what was sent. */
import type {Problem, Refusal} from '@oathead/core';
import type {z} from 'zod';

/**
 * @param error - What a schema found.
 * @param prefix - Path of what was checked.
 * @returns Each problem with its path.
 */
export function problemsOf(
  error: z.ZodError,
  prefix: readonly PropertyKey[] = [],
): readonly Problem[] {
  return error.issues.map(issue => ({
    path: [...prefix, ...issue.path].map(String).join('.'),
    message: issue.message,
  }));
}

/**
 * @param message - What was refused.
 * @param problems - All that is wrong with it.
 * @returns A refusal that lists them.
 */
export function invalid(
  message: string,
  problems: readonly Problem[],
): Refusal {
  return {kind: 'invalid-request', message, ran: 'not-run', problems};
}
