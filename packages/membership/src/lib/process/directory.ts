/**
 * The row `members`: all entries and the owners of all shares, in one row. An
 * entry that learns from the head that members changed reads this one row, and
 * not 340 leases and every share. It is written in the same transaction as the
 * leases and shares it repeats, so it never differs from them, and the check of
 * its version puts all changes of ownership in one order.
 */
import {hash32, rendezvous} from '@oathead/core';
import type {JsonObject, Row} from '@oathead/stores';
import {z} from 'zod';

/** Key of the directory. */
export const DIRECTORY_KEY = 'members';

/** Owner of a share that nobody owns. */
export const NOBODY = '';

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
    /** Counts joins; the epoch of the last lease. */
    joins: z.number(),
  })
  .readonly();

/** An entry, as the directory tells. */
export type DirectoryEntry = z.infer<typeof entrySchema>;

/** All entries, and the owner of each share by its number. */
export type Directory = z.infer<typeof directorySchema>;

/**
 * @param row - The row as read.
 * @param shareCount - Number of shares, for a fleet that has no row yet.
 * @returns The directory in it.
 */
export function directoryOf(
  row: Row | undefined,
  shareCount: number,
): Directory {
  if (row !== undefined) return directorySchema.parse(row.value);
  const shares = Array.from({length: shareCount}, () => ({
    owner: NOBODY,
    epoch: 0,
  }));
  return {entries: {}, shares, joins: 0};
}

/**
 * @param directory - All entries.
 * @returns The same, as a row carries it.
 */
export function directoryJson(directory: Directory): JsonObject {
  return {...directory};
}

/**
 * @param directory - All entries.
 * @param entryId - An entry.
 * @param entry - What is to be said of it.
 * @returns The directory that says so.
 */
export function withEntry(
  directory: Directory,
  entryId: string,
  entry: DirectoryEntry,
): Directory {
  return {...directory, entries: {...directory.entries, [entryId]: entry}};
}

/**
 * @param directory - All entries.
 * @param entryId - The entry that is gone.
 * @returns The directory without it. Its shares still name it.
 */
export function withoutEntry(directory: Directory, entryId: string): Directory {
  const entries = Object.fromEntries(
    Object.entries(directory.entries).filter(([id]) => id !== entryId),
  );
  return {...directory, entries};
}

/**
 * @param directory - All entries.
 * @returns Those that may be given shares, in a stable order.
 */
export function stayingEntries(directory: Directory): readonly string[] {
  return Object.entries(directory.entries)
    .filter(([, entry]) => !entry.leaving)
    .map(([id]) => id)
    .sort();
}

/**
 * @param share - A share.
 * @param staying - Entries that may be given shares.
 * @returns The entry that is to own it.
 */
export function preferredOwner(
  share: number,
  staying: readonly string[],
): string {
  return rendezvous(`share/${share}`, staying)[0] ?? NOBODY;
}

/**
 * @param directory - All entries.
 * @returns Shares whose owner is no entry any more.
 */
export function orphanShares(directory: Directory): readonly number[] {
  return directory.shares.flatMap(({owner}, share) =>
    directory.entries[owner] === undefined ? [share] : [],
  );
}

/**
 * @param directory - All entries.
 * @param entryId - An entry.
 * @returns The shares that it owns.
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
 * Gives shares to the entries that rendezvous hashing prefers.
 *
 * @param directory - All entries.
 * @param shares - The shares to give.
 * @returns The directory with new owners, each at the next epoch.
 */
export function reassign(
  directory: Directory,
  shares: readonly number[],
): Directory {
  const staying = stayingEntries(directory);
  const owners = [...directory.shares];
  for (const share of shares) {
    const {epoch} = owners[share]!;
    owners[share] = {owner: preferredOwner(share, staying), epoch: epoch + 1};
  }
  return {...directory, shares: owners};
}

/**
 * The ring in which entries watch each other's leases. Ordered by hash: ids
 * that begin with the name of a data centre would stand side by side, and the
 * loss of a data centre would be noticed only from its edges inwards.
 *
 * @param directory - All entries.
 * @param entryId - The watching entry.
 * @param count - How many it watches.
 * @returns The next entries on the ring.
 */
export function neighbours(
  directory: Directory,
  entryId: string,
  count: number,
): readonly string[] {
  const place = (id: string) => hash32(`ring/${id}`);
  const ring = Object.keys(directory.entries)
    .filter(id => id !== entryId)
    .sort((a, b) => place(a) - place(b) || (a < b ? -1 : 1));
  const own = place(entryId);
  const next = ring.findIndex(id => place(id) > own);
  const start = Math.max(0, next);
  return [...ring.slice(start), ...ring.slice(0, start)].slice(0, count);
}
