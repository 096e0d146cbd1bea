/**
 * Loads JSON settings files and validates them against a schema at startup.
 * Every problem is reported with its path.
 */
import {readFile} from 'node:fs/promises';
import type {z} from 'zod';
import {failure, success} from '@oathead/core';
import type {Outcome, Problem} from '@oathead/core';

/** Why a settings file was rejected. */
export interface SettingsError {
  readonly kind: 'unreadable' | 'not-json' | 'invalid';
  readonly file: string;
  readonly problems: readonly Problem[];
}

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the file.
 * @param schema - Schema of the settings, which also supplies the defaults.
 * @returns The settings, or an error that lists every problem found.
 */
export async function loadSettings<T>(
  file: string,
  schema: z.ZodType<T>,
): Promise<Outcome<T, SettingsError>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (err) {
    return problem(file, 'unreadable', (err as Error).message);
  }
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (err) {
    return problem(file, 'not-json', (err as Error).message);
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return success(parsed.data);
  return failure({
    kind: 'invalid',
    file,
    problems: problemsOf(parsed.error),
  });
}

/**
 * Converts a zod error.
 *
 * @param err - Result of a failed validation.
 * @returns One problem for each issue, with paths such as `items.3.id`.
 */
export function problemsOf(err: z.ZodError): readonly Problem[] {
  return err.issues.map(issue => ({
    path: issue.path.join('.') || '(whole)',
    message: issue.message,
  }));
}

/**
 * Formats a settings error for the operator.
 *
 * @param err - Why the settings file was rejected.
 * @returns One line for each problem: file, path and message.
 */
export function formatSettingsError(err: SettingsError): string {
  return err.problems
    .map(({path, message}) => `${err.file}: ${path}: ${message}`)
    .join('\n');
}

function problem(
  file: string,
  kind: SettingsError['kind'],
  message: string,
): Outcome<never, SettingsError> {
  return failure({kind, file, problems: [{path: '(file)', message}]});
}
