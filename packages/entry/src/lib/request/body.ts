/** Bodies that callers send, checked against schemas. */
import type {z} from 'zod';
import {failure, success} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import {problemsOf} from '@oathead/observe';

/**
 * Reads a JSON body.
 *
 * @param body - The text.
 * @param schema - What it must look like.
 * @returns The value, or a refusal that lists every problem.
 */
export function parseBody<T>(
  body: string,
  schema: z.ZodType<T>,
): Outcome<T, Refusal> {
  const json = parseJson(body);
  if (!json.ok) return json;
  return checkValue(json.value, schema);
}

/**
 * @param text - Text that should be JSON.
 * @returns The value, or a refusal.
 */
export function parseJson(text: string): Outcome<unknown, Refusal> {
  try {
    return success(JSON.parse(text) as unknown);
  } catch {
    return failure(invalid([{path: '(body)', message: 'not JSON'}]));
  }
}

/**
 * @param value - Any value.
 * @param schema - What it must look like.
 * @returns The value as the schema gives it, or a refusal.
 */
export function checkValue<T>(
  value: unknown,
  schema: z.ZodType<T>,
): Outcome<T, Refusal> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return success(parsed.data);
  return failure(invalid(problemsOf(parsed.error)));
}

function invalid(problems: ReturnType<typeof problemsOf>): Refusal {
  const first = problems[0]!;
  return {
    kind: 'invalid-request',
    message: `${first.path}: ${first.message}`,
    ran: 'not-run',
    problems,
  };
}
