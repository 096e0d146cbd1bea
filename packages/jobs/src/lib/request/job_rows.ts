/**
 * Where a job lies in the store. All its rows are in one partition, so that a
 * result and the head that fences it are written together. Partitions are few
 * and fixed: the heads of all jobs can be read whole, and each partition takes
 * only so many transactions a second.
 */
import {hash32} from '@oathead/core';
import type {RowRef} from '@oathead/stores';
import {z} from 'zod';

/** Heads: the state of each job, in one small row. */
export const HEAD_TABLE = 'job_heads';
/** What was handed in, in pieces. */
export const CONTENT_TABLE = 'job_content';
/** Results by position. */
export const RESULT_TABLE = 'job_results';
/** Text of items whose owner has stopped. */
export const PARTIAL_TABLE = 'job_partials';

const PARTITIONS = 16;
const PARTITION_DIGITS = 2;
const POSITION_DIGITS = 6;

/** All partitions of the tables of jobs. */
export const JOB_PARTITIONS: readonly string[] = [
  ...Array(PARTITIONS).keys(),
].map(i => `p${String(i).padStart(PARTITION_DIGITS, '0')}`);

const COUNT = z.number().int().nonnegative();

/** The schema of a head. */
export const JOB_HEAD = z.object({
  id: z.string(),
  hostName: z.string(),
  /** The client account under which its items run; none: there were no accounts. */
  account: z.string().optional(),
  items: COUNT,
  /** On the store's steady clock, in milliseconds. */
  acceptedAtMs: z.number(),
  completionGoalMs: z.number(),
  retentionMs: z.number(),
  maxAttempts: COUNT,
  /** The run of a process that works on it; empty: nobody does. */
  owner: z.string(),
  /** `open`: items are left; `done`: all are listed; `ended`: by its caller. */
  state: z.enum(['open', 'done', 'ended']),
  /** How many results are listed. */
  listed: COUNT,
  /** Failed runs by item, where there were any. */
  failures: z.record(z.string(), COUNT),
  /** Tells a write of the head from all others. */
  nonce: z.string(),
  /** When it was done or ended, on the store's clock. */
  closedAtMs: z.number().optional(),
  content: z.object({kind: z.enum(['rows', 'objects']), pieces: COUNT}),
});

/** The state of a job. */
export type JobHead = Readonly<z.infer<typeof JOB_HEAD>>;

/** A head with the version that fences writes on top of it. */
export interface VersionedHead {
  readonly head: JobHead;
  readonly version: number;
}

/** @returns The partition of a job. */
export function partitionOf(jobId: string): string {
  return JOB_PARTITIONS[hash32(jobId) % PARTITIONS]!;
}

/** @returns The row of a job's head. */
export function headRef(jobId: string): RowRef {
  return {table: HEAD_TABLE, partition: partitionOf(jobId), key: jobId};
}

/**
 * @param table - One of the tables with several rows for a job.
 * @param jobId - The job.
 * @param index - The piece, position or item.
 * @returns The row.
 */
export function jobRowRef(table: string, jobId: string, index: number): RowRef {
  const digits = String(index).padStart(POSITION_DIGITS, '0');
  return {table, partition: partitionOf(jobId), key: `${jobId}/${digits}`};
}

/**
 * @param table - One of the tables with several rows for a job.
 * @param jobId - The job.
 * @param from - The first index wanted.
 * @returns The range of the job's rows from there on.
 */
export function jobRowRange(table: string, jobId: string, from = 0) {
  const {partition, key} = jobRowRef(table, jobId, from);
  // The character behind the slash: no key of this job comes after it.
  return {table, partition, from: key, to: `${jobId}0`};
}

/** @returns The index in the key of a row of {@link jobRowRef}. */
export function indexOfKey(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}
