/** Keys and codecs of the lease rows and share rows. */
import type {JsonObject, Row} from '@oathead/stores';
import {z} from 'zod';

const leaseSchema = z
  .object({
    address: z.string(),
    dataCentre: z.string(),
    /** Number of joins in the fleet: a later lease has a higher epoch. */
    epoch: z.number(),
    leaving: z.boolean(),
    /** Unique id of one incarnation of the entry. */
    boot: z.string(),
    /** Unique id of one write of the row. */
    nonce: z.string(),
  })
  .readonly();

const shareSchema = z
  .object({
    owner: z.string(),
    /** Incremented with each change of owner. */
    epoch: z.number(),
  })
  .readonly();

/** The lease of an entry, in row `entry/{id}`. */
export type LeaseRow = z.infer<typeof leaseSchema>;

/** The owner of a share, in row `share/{n}`. */
export type ShareRow = z.infer<typeof shareSchema>;

/**
 * @param entryId - Id of an entry.
 * @returns Key of its lease row.
 */
export function leaseKey(entryId: string): string {
  return `entry/${entryId}`;
}

/**
 * @param share - Number of a share.
 * @returns Key of its row, which names the owner and whose version fences
 *     writes about the share.
 */
export function shareKey(share: number): string {
  return `share/${share}`;
}

/**
 * @param row - A row `entry/{id}`.
 * @returns The lease in it.
 * @throws If the row does not match the schema.
 */
export function leaseOf(row: Row): LeaseRow {
  return leaseSchema.parse(row.value);
}

/**
 * @param row - A row `share/{n}`.
 * @returns The ownership in it.
 * @throws If the row does not match the schema.
 */
export function shareOwnerOf(row: Row): ShareRow {
  return shareSchema.parse(row.value);
}

/**
 * @param value - A lease or an ownership of a share.
 * @returns The JSON value of its row.
 */
export function rowJson(value: LeaseRow | ShareRow): JsonObject {
  return {...value};
}
