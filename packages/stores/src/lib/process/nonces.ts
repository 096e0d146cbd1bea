/**
 * Nonces in rows: how a writer knows its own write.
 *
 * Each stamped row carries the nonce of the write that made it and, behind it,
 * the nonces of the writes before. So a writer sees its own write even after
 * others have written over it, for as many writes as the history is long.
 */
import type {Json, Row} from './table_store.js';

/** A value that can carry nonces. */
export type JsonObject = {readonly [key: string]: Json | undefined};

/** The field of a row that holds its nonces, newest first. */
export const NONCES_FIELD = 'nonces';

/** How many writes of a row can be told apart. */
export const NONCE_HISTORY = 8;

/**
 * @param value - What to write.
 * @param nonce - Unique for this write.
 * @param base - The row as it was read, or undefined where there was none.
 * @returns The value with its nonces.
 */
export function stampNonce(
  value: JsonObject,
  nonce: string,
  base?: Row,
): JsonObject {
  const nonces = [nonce, ...noncesOf(base)].slice(0, NONCE_HISTORY);
  return {...value, [NONCES_FIELD]: nonces};
}

/**
 * @param row - A row, or undefined where there is none.
 * @returns Its nonces, newest first; none when it was never stamped.
 */
export function noncesOf(row: Row | undefined): readonly string[] {
  if (!row || !isJsonObject(row.value)) return [];
  const nonces = row.value[NONCES_FIELD];
  if (!Array.isArray(nonces)) return [];
  return nonces.filter(nonce => typeof nonce === 'string');
}

/**
 * @param value - Any value of a row.
 * @returns Whether it can carry nonces.
 */
export function isJsonObject(value: Json): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
