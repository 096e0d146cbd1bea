/**
 * The directory: the row `members`, which lists all entries and the owners of
 * all shares. When the head shows that the members changed, an entry reads this
 * one row instead of up to 340 lease rows and every share row. The directory is
 * written in the same transaction as the lease and share rows that it
 * duplicates, so it is always consistent with them. Each such transaction is
 * conditional on the version of the directory, which serialises all changes of
 * ownership.
 */
import {hash32, rendezvous} from '@oathead/core';
import type {JsonObject, Row} from '@oathead/stores';
import {z} from 'zod';

/** Key of the directory row. */
export const DIRECTORY_KEY = 'members';

/** Stored as the owner of a share that has no owner. */
export const NO_OWNER = '';

const entrySchema = z
  .object({
    address: z.string(),
    dataCentre: z.string(),
    leaving: z.boolean(),
    boot: z.string(),
  })
  .readonly();

const directorySchema = z
  .object({
    entries: z.record(z.string(), entrySchema).readonly(),
    shares: z
      .array(z.object({owner: z.string(), epoch: z.number()}).readonly())
      .readonly(),
    /** Number of joins so far, which is the epoch of the latest lease. */
    joins: z.number(),
  })
  .readonly();

/** An entry as recorded in the directory. */
export type DirectoryEntry = z.infer<typeof entrySchema>;

/** All entries by id, and the owner of each share by share number. */
export type Directory = z.infer<typeof directorySchema>;

/**
 * Decodes the directory.
 *
 * @param row - The row as read.
 * @param shareCount - Number of shares, used while the row does not exist.
 * @returns The stored directory; without a row, a directory with no entries
 *     and with all shares unowned.
 * @throws If the row does not match the schema.
 */
export function directoryOf(
  row: Row | undefined,
  shareCount: number,
): Directory {
  if (row !== undefined) return directorySchema.parse(row.value);
  const shares = Array.from({length: shareCount}, () => ({
    owner: NO_OWNER,
    epoch: 0,
  }));
  return {entries: {}, shares, joins: 0};
}

/**
 * @param directory - The directory.
 * @returns The directory as the JSON value of its row.
 */
export function directoryJson(directory: Directory): JsonObject {
  return {...directory};
}

/**
 * @param directory - The directory.
 * @param entryId - Id of the entry to add or replace.
 * @param entry - The record to store for it.
 * @returns A copy of the directory with that record.
 */
export function withEntry(
  directory: Directory,
  entryId: string,
  entry: DirectoryEntry,
): Directory {
  return {...directory, entries: {...directory.entries, [entryId]: entry}};
}

/**
 * @param directory - The directory.
 * @param entryId - Id of the entry to remove.
 * @returns A copy of the directory without that entry. Its shares still name
 *     it as their owner, which makes them orphans.
 */
export function withoutEntry(directory: Directory, entryId: string): Directory {
  const entries = Object.fromEntries(
    Object.entries(directory.entries).filter(([id]) => id !== entryId),
  );
  return {...directory, entries};
}

/**
 * @param directory - The directory.
 * @returns Ids of the entries that may be assigned shares, which are those that
 *     are not draining, in sorted order.
 */
export function eligibleOwners(directory: Directory): readonly string[] {
  return Object.entries(directory.entries)
    .filter(([, entry]) => !entry.leaving)
    .map(([id]) => id)
    .sort();
}

/**
 * Chooses the owner of a share by rendezvous hashing.
 *
 * @param share - Number of the share.
 * @param eligible - Ids of the entries that may be assigned shares.
 * @returns Id of the entry that should own the share; {@link NO_OWNER} if no
 *     entry is eligible.
 */
export function preferredOwner(
  share: number,
  eligible: readonly string[],
): string {
  return rendezvous(`share/${share}`, eligible)[0] ?? NO_OWNER;
}

/**
 * @param directory - The directory.
 * @returns Numbers of the shares whose owner is not in the directory.
 */
export function orphanShares(directory: Directory): readonly number[] {
  return directory.shares.flatMap(({owner}, share) =>
    directory.entries[owner] === undefined ? [share] : [],
  );
}

/**
 * @param directory - The directory.
 * @param entryId - Id of an entry.
 * @returns Numbers of the shares that the entry owns.
 */
export function sharesOf(
  directory: Directory,
  entryId: string,
): readonly number[] {
  return directory.shares.flatMap(({owner}, share) =>
    owner === entryId ? [share] : [],
  );
}

/**
 * Assigns shares to the entries that rendezvous hashing selects.
 *
 * @param directory - The directory.
 * @param shares - Numbers of the shares to assign.
 * @returns A copy of the directory with the new owners. The epoch of each of
 *     these shares is incremented.
 */
export function reassign(
  directory: Directory,
  shares: readonly number[],
): Directory {
  const eligible = eligibleOwners(directory);
  const owners = [...directory.shares];
  for (const share of shares) {
    const {epoch} = owners[share]!;
    owners[share] = {owner: preferredOwner(share, eligible), epoch: epoch + 1};
  }
  return {...directory, shares: owners};
}

/**
 * Selects the entries whose leases an entry watches: its successors on a ring
 * of all entries. The ring is ordered by a hash of the ids. In the order of the
 * ids themselves, entries whose ids start with the name of their data centre
 * would be adjacent, and the loss of a whole data centre would be detected only
 * one entry after the other, from the ends of its range.
 *
 * @param directory - The directory.
 * @param entryId - Id of the watching entry.
 * @param count - Maximum number of entries to watch.
 * @returns Ids of the next entries on the ring.
 */
export function neighbours(
  directory: Directory,
  entryId: string,
  count: number,
): readonly string[] {
  const position = (id: string) => hash32(`ring/${id}`);
  const ring = Object.keys(directory.entries)
    .filter(id => id !== entryId)
    .sort((a, b) => position(a) - position(b) || (a < b ? -1 : 1));
  const ownPosition = position(entryId);
  const next = ring.findIndex(id => position(id) > ownPosition);
  const start = Math.max(0, next);
  return [...ring.slice(start), ...ring.slice(0, start)].slice(0, count);
}
