/**
 * Nonces in rows, by which a writer recognizes its own writes.
 *
 * Each stamped row carries the nonce of its latest write, followed by the nonces
 * of the previous writes. A writer can therefore recognize its write even after
 * other writers have overwritten the row, up to the length of the history
 * ({@link NONCE_HISTORY}).
 */
import type {Json, Row} from './table_store.js';

/** A JSON object, which is a value that can carry nonces. */
export type JsonObject = {readonly [key: string]: Json | undefined};

/** The field of a row that holds its nonces, newest first. */
export const NONCES_FIELD = 'nonces';

/** Maximum number of nonces in a row, including that of the latest write. */
export const NONCE_HISTORY = 8;

/**
 * Adds a nonce to a value.
 *
 * @param value - The value to write.
 * @param nonce - Unique id of the write.
 * @param base - The row that the write replaces, whose nonces are carried over;
 *     undefined if there is none.
 * @returns A copy of the value with the nonce and those of the base.
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
 * @param row - A row, or undefined if it does not exist.
 * @returns The nonces of the row, newest first; empty if it was never stamped.
 */
export function noncesOf(row: Row | undefined): readonly string[] {
  if (!row || !isJsonObject(row.value)) return [];
  const nonces = row.value[NONCES_FIELD];
  if (!Array.isArray(nonces)) return [];
  return nonces.filter(nonce => typeof nonce === 'string');
}

/**
 * @param value - The value of a row.
 * @returns Whether the value is an object, so that it can carry nonces.
 */
export function isJsonObject(value: Json): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
