/**
 * Rows of the record of streams: each host incarnation keeps one, which says at
 * which software versions it may begin streams and which streams it has begun.
 */
import {hash32, type Outcome} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  type RowQuery,
  type RowRef,
  type UnreadableRow,
} from '@oathead/stores';
import {z} from 'zod';
import type {StreamOrigin} from '../connection/stream_version_message.js';
import {hostOfMember} from './member.js';

/** Table of the record. */
export const STREAM_TABLE = 'streams';
/**
 * Partitions of the table: the store performs the writes of one partition one
 * after another.
 */
export const STREAM_PARTITIONS = ['0', '1', '2', '3'] as const;

const BEGUN = z.object({
  service: z.string(),
  softwareVersion: z.string(),
  /** IDs of the streams that began there, the oldest first. */
  streams: z.array(z.string()).readonly(),
});

const ROW = z.object({
  /** Store time at which it was written, in milliseconds. */
  writtenAtMs: z.number(),
  /**
   * How long after that its streams may be taken up, in milliseconds; absent in
   * rows of earlier releases.
   */
  lastsMs: z.number().nonnegative().optional(),
  begun: z.array(BEGUN).readonly(),
});

/** The streams that a host has begun at one version, which may be none yet. */
export type BegunStreams = Readonly<z.infer<typeof BEGUN>>;
/** What a host incarnation has recorded. */
export type StreamRow = Readonly<z.infer<typeof ROW>>;

/**
 * @param memberId - ID of a host incarnation.
 * @returns Its row.
 */
export function streamRowRef(memberId: string): RowRef {
  const at = hash32(hostOfMember(memberId)) % STREAM_PARTITIONS.length;
  const partition = STREAM_PARTITIONS[at]!;
  return {table: STREAM_TABLE, partition, key: memberId};
}

/**
 * @param memberId - ID of a host incarnation.
 * @returns The rows of all incarnations of its host.
 */
export function streamRowsOfHost(memberId: string): RowQuery {
  const {table, partition} = streamRowRef(memberId);
  const host = hostOfMember(memberId);
  // The character after the separator of IDs ends the range.
  return {table, partition, from: `${host}.`, to: `${host}/`};
}

/**
 * @param row - What a host incarnation records.
 * @returns The value of its row.
 */
export function encodeStreamRow(row: StreamRow): Uint8Array {
  return encodeJson(row);
}

/**
 * @param value - Value of a row of {@link STREAM_TABLE}.
 * @returns What it records, or why it cannot be read.
 */
export function decodeStreamRow(
  value: Uint8Array,
): Outcome<StreamRow, UnreadableRow> {
  return decodeJson(value, ROW);
}

/**
 * @param origin - Where a stream began.
 * @returns A key for its service and version.
 */
export function keyOf({service, softwareVersion}: StreamOrigin): string {
  return JSON.stringify([service, softwareVersion]);
}
