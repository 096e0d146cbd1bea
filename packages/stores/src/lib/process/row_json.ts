/** Rows whose value is JSON of a known shape. */
import {failure, success, type Outcome} from '@oathead/core';
import {z} from 'zod';

const DECODER = new TextDecoder();
const ENCODER = new TextEncoder();

/** Why a row could not be read: another release or another writer wrote it. */
export interface UnreadableRow {
  readonly kind: 'unreadable';
  readonly message: string;
}

/**
 * @param value - What JSON can carry.
 * @returns The value of a row.
 */
export function encodeJson(value: unknown): Uint8Array {
  return ENCODER.encode(JSON.stringify(value));
}

/**
 * @param value - The value of a row.
 * @param schema - What it must hold.
 * @returns What it holds, or why it can't be read.
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
 * @param text - Text that should be JSON.
 * @returns What it says, or why it can't be read.
 */
export function parseJson(text: string): Outcome<unknown, UnreadableRow> {
  try {
    return success(JSON.parse(text));
  } catch (err) {
    return failure({kind: 'unreadable', message: String(err)});
  }
}
