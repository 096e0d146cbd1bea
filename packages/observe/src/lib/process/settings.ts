/**
 * Settings files: JSON, checked against a schema before anything starts, every
 * problem listed with its path.
 */
import {readFile} from 'node:fs/promises';
import type {z} from 'zod';
import {failure, success} from '@oathead/core';
import type {Outcome, Problem} from '@oathead/core';

/** Why a settings file cannot be used. */
export interface SettingsError {
  readonly kind: 'unreadable' | 'not-json' | 'invalid';
  readonly file: string;
  readonly problems: readonly Problem[];
}

/**
 * Reads and checks a settings file.
 *
 * @param file - Its path.
 * @param schema - What it must look like; defaults are filled in.
 * @returns The settings, or every problem found.
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
 * @param err - What zod found wrong.
 * @returns The same as typed problems, with paths such as `items.3.id`.
 */
export function problemsOf(err: z.ZodError): readonly Problem[] {
  return err.issues.map(issue => ({
    path: issue.path.join('.') || '(whole)',
    message: issue.message,
  }));
}

/**
 * @param err - Why a settings file cannot be used.
 * @returns Lines for a person, one a problem.
 */
export function settingsErrorText(err: SettingsError): string {
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
