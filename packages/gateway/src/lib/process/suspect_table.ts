/** The table through which hosts share what may crash targets. */

/**
 * Rows of two kinds: requests by their fingerprint, and parts of prompts by keys
 * that begin with a word that no fingerprint contains.
 */
export const SUSPECT_TABLE = 'suspects';
/** Beginning of the keys of rows about parts of prompts. */
export const PART_KEY_PREFIX = 'part ';

/**
 * @param key - Key of a row of {@link SUSPECT_TABLE}.
 * @returns Whether the row is about a part of prompts.
 */
export function isPartKey(key: string): boolean {
  return key.startsWith(PART_KEY_PREFIX);
}
