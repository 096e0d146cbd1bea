/** Encoding and validation of row values that are JSON. */
import {failure, success, type Outcome} from '@oathead/core';
import {z} from 'zod';

const DECODER = new TextDecoder();
const ENCODER = new TextEncoder();

/**
 * Error for a row value that cannot be decoded, for example because another
 * release or another program wrote it.
 */
export interface UnreadableRow {
  readonly kind: 'unreadable';
  readonly message: string;
}

/**
 * @param value - A value that can be serialized as JSON.
 * @returns The row value: JSON in UTF-8.
 */
export function encodeJson(value: unknown): Uint8Array {
  return ENCODER.encode(JSON.stringify(value));
}

/**
 * Decodes and validates a row value.
 *
 * @param value - The row value: JSON in UTF-8.
 * @param schema - Schema of the decoded value.
 * @returns The decoded value, or an error if it is not JSON or does not match
 *     the schema.
 */
export function decodeJson<T>(
  value: Uint8Array,
  schema: z.ZodType<T>,
): Outcome<T, UnreadableRow> {
  const json = parseJson(DECODER.decode(value));
  if (!json.ok) return json;
  const parsed = schema.safeParse(json.value);
  if (parsed.success) return success(parsed.data);
  return failure({
    kind: 'unreadable',
    message: z.prettifyError(parsed.error),
  });
}

/**
 * Parses JSON without throwing.
 *
 * @param text - The text to parse.
 * @returns The parsed value, or an error if the text is not JSON.
 */
export function parseJson(text: string): Outcome<unknown, UnreadableRow> {
  try {
    return success(JSON.parse(text));
  } catch (err) {
    return failure({kind: 'unreadable', message: String(err)});
  }
}
