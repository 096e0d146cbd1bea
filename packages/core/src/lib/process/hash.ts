/**
 * Hashing for placement and fingerprints: fast, stable across hosts and
 * versions, not for secrets.
 */
import xxhash from 'xxhash-wasm';

const {h32, h64ToString} = await xxhash();

/**
 * @param text - What to hash.
 * @returns An unsigned 32-bit hash.
 */
export function hash32(text: string): number {
  return h32(text) >>> 0;
}

/**
 * @param text - What to hash.
 * @returns A 64-bit hash as 16 hexadecimal digits.
 */
export function fingerprint(text: string): string {
  return h64ToString(text);
}

/**
 * Rendezvous hashing: the order of preference of `names` for `key`. Taking a
 * name away moves only the keys that preferred it.
 *
 * @param key - What is to be placed.
 * @param names - Where it can be placed.
 * @returns The names, most preferred first.
 */
export function rendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map(name => ({name, score: h32(`${key}\n${name}`) >>> 0}))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({name}) => name);
}
