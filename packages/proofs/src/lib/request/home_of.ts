/** Which entry keeps a key or a chunk, as the directory in the table says. */
import {hash32} from '@oathead/core';
import type {EntryProcess} from '../process/processes.js';
import type {ProofFleet} from '../process/proof_fleet.js';

interface Directory {
  readonly shares: readonly {readonly owner: string}[];
}

/**
 * @param fleet - The fleet.
 * @returns The owner of each share, by its number.
 */
export async function shareOwners(
  fleet: ProofFleet,
): Promise<readonly string[]> {
  const read = await fleet.memory.table.read(['members']);
  if (!read.ok || !read.value[0]) return [];
  const {shares} = read.value[0].value as unknown as Directory;
  return shares.map(({owner}) => owner);
}

/**
 * @param fleet - The fleet.
 * @param key - A key, or the key of a chunk's row.
 * @returns The entry whose share it belongs to.
 */
export async function homeOf(
  fleet: ProofFleet,
  key: string,
): Promise<EntryProcess | undefined> {
  const owners = await shareOwners(fleet);
  const owner = owners[hash32(key) % owners.length];
  return fleet.entries.find(({id}) => id === owner);
}

/**
 * Finds a key that belongs to a given entry, so that a story is the same
 * whatever entries the fleet has.
 *
 * @param fleet - The fleet.
 * @param wanted - The entry.
 * @param keyOf - Makes a key of a number.
 * @returns The number of the first key that fits.
 */
export async function keyAt(
  fleet: ProofFleet,
  wanted: EntryProcess,
  keyOf: (n: number) => string,
): Promise<number> {
  for (let n = 0; n < MAX_TRIES; n++) {
    if ((await homeOf(fleet, keyOf(n))) === wanted) return n;
  }
  throw new Error(`no key belongs to ${wanted.id}`);
}

const MAX_TRIES = 200;
