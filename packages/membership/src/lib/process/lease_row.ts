/** Rows of leases and shares. */
import type {JsonObject, Row} from '@oathead/stores';
import {z} from 'zod';

const leaseSchema = z
  .object({
    address: z.string(),
    dataCentre: z.string(),
    /** Counts joins of the fleet: a later lease has a higher epoch. */
    epoch: z.number(),
    leaving: z.boolean(),
    /** Names one start of one process, for good. */
    boot: z.string(),
    /** Names one write of the row. */
    nonce: z.string(),
  })
  .readonly();

const shareSchema = z
  .object({
    owner: z.string(),
    /** Counts owners. */
    epoch: z.number(),
  })
  .readonly();

/** The lease of an entry, in row `entry/{id}`. */
export type LeaseRow = z.infer<typeof leaseSchema>;

/** The owner of a share, in row `share/{n}`. */
export type ShareRow = z.infer<typeof shareSchema>;

/**
 * @param entryId - An entry.
 * @returns Key of its lease.
 */
export function leaseKey(entryId: string): string {
  return `entry/${entryId}`;
}

/**
 * @param share - A share.
 * @returns Key of the row that names its owner and fences its writes.
 */
export function shareKey(share: number): string {
  return `share/${share}`;
}

/**
 * @param row - A row `entry/{id}`.
 * @returns The lease in it.
 */
export function leaseOf(row: Row): LeaseRow {
  return leaseSchema.parse(row.value);
}

/**
 * @param row - A row `share/{n}`.
 * @returns The ownership in it.
 */
export function shareOwnerOf(row: Row): ShareRow {
  return shareSchema.parse(row.value);
}

/**
 * @param value - A lease or ownership.
 * @returns The same, as a row carries it.
 */
export function rowJson(value: LeaseRow | ShareRow): JsonObject {
  return {...value};
}
