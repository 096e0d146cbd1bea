/**
 * Hash functions for placement and fingerprints: fast, and stable across hosts
 * and versions. They are not cryptographic.
 */
import xxhash from 'xxhash-wasm';

type HashFunctions = Awaited<ReturnType<typeof xxhash>>;

let h32: HashFunctions['h32'];
let h64ToString: HashFunctions['h64ToString'];

/**
 * Resolves when the functions of this module can be called; their WebAssembly
 * is compiled asynchronously. Importing the unbundled module waits for it.
 *
 * Guards against a bundled program that fails at its first request with
 * "h64ToString is not a function": a bundler may start re-exported modules
 * without awaiting them. A program must await this promise before it serves.
 */
export const hashesReady: Promise<void> = xxhash().then(functions => {
  ({h32, h64ToString} = functions);
});

await hashesReady;

/**
 * @param text - Text to hash.
 * @returns An unsigned 32-bit hash.
 */
export function hash32(text: string): number {
  return h32(text) >>> 0;
}

/**
 * @param text - Text to hash.
 * @returns A 64-bit hash as 16 hexadecimal digits.
 */
export function fingerprint(text: string): string {
  return h64ToString(text);
}

/**
 * Rendezvous hashing: orders `names` by preference for `key`. Removing a name
 * moves only the keys that preferred it.
 *
 * @param key - Key to be placed.
 * @param names - Candidates for the placement.
 * @returns The names, most preferred first.
 */
export function rendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map(name => rankName(key, name))
    .sort(compareRanks)
    .map(({name}) => name);
}

/**
 * Tests whether a name is among the first `count` names of {@link rendezvous}.
 * It stops as soon as `count` names rank higher, so it usually computes fewer
 * hashes than the complete order, which takes one for each name.
 *
 * @param count - Number of names that are considered.
 * @param key - Key to be placed.
 * @param name - The name to test.
 * @param names - Candidates for the placement.
 * @returns Whether the name is one of `names` and ranks among the first
 *     `count`.
 */
export function ranksWithin(
  count: number,
  key: string,
  name: string,
  names: readonly string[],
): boolean {
  const own = rankName(key, name);
  let higherRanked = 0;
  for (const other of names) {
    if (other === name || compareRanks(rankName(key, other), own) > 0) continue;
    higherRanked++;
    if (higherRanked === count) return false;
  }
  return names.includes(name);
}

interface RankedName {
  readonly name: string;
  readonly score: number;
}

function rankName(key: string, name: string): RankedName {
  return {name, score: h32(`${key}\n${name}`) >>> 0};
}

function compareRanks(a: RankedName, b: RankedName): number {
  return b.score - a.score || (a.name < b.name ? -1 : 1);
}
