/**
 * Layout of jobs in the store. All rows of a job are in one partition, so that
 * a result and the head that fences it are written in one transaction. The
 * number of partitions is small, so that the heads of all jobs can be read, and
 * fixed; there are several because the store limits the transactions per second
 * of each partition.
 */
import {failure, hash32, type Outcome} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  type RowRef,
  type UnreadableRow,
  type VersionedRow,
} from '@oathead/stores';
import {z} from 'zod';

/** Heads: one small row per job, which holds its state. */
export const HEAD_TABLE = 'job_heads';
/** Submitted items, in pieces. */
export const CONTENT_TABLE = 'job_content';
/** Results by position. */
export const RESULT_TABLE = 'job_results';
/** Partial texts of items, by item. */
export const PARTIAL_TABLE = 'job_partials';

const PARTITION_COUNT = 16;
const PARTITION_DIGITS = 2;
const INDEX_DIGITS = 6;

/** The partitions of the job tables. */
export const JOB_PARTITIONS: readonly string[] = [
  ...Array(PARTITION_COUNT).keys(),
].map(i => `p${String(i).padStart(PARTITION_DIGITS, '0')}`);

const COUNT = z.number().int().nonnegative();
/**
 * Maximum number of pieces of a job's content: more than any submission has. The
 * pieces are read and removed one by one.
 */
const MAX_PIECES = 10_000;
/** Half of a character; no URL can hold it. */
const LONE_SURROGATE = /\p{Surrogate}/u;

const FAILED_RUN = z.object({
  target: z.string(),
  status: z.number().int(),
  /** Why it may be less than a failure; absent if it is none. */
  doubt: z.string().optional(),
  /** Number of the run under its owner. */
  run: COUNT,
  owner: z.string(),
  sinceAcceptedMs: z.number(),
});

/** A run of an item that failed or may have failed. */
export type FailedRun = Readonly<z.infer<typeof FAILED_RUN>>;

/** Schema of a job head; see {@link decodeHead} for the row of one. */
export const JOB_HEAD = z.object({
  id: z.string().refine(id => !LONE_SURROGATE.test(id)),
  hostName: z.string(),
  /**
   * Client account under which the items run; absent if there were no accounts.
   */
  account: z.string().optional(),
  items: COUNT,
  /** On the store's monotonic clock, in milliseconds. */
  acceptedAtMs: z.number(),
  completionGoalMs: z.number(),
  retentionMs: z.number(),
  maxAttempts: COUNT,
  /**
   * Member ID of the host incarnation that owns the job; empty if none does.
   */
  owner: z.string(),
  /**
   * `open`: items are left; `done`: all results are written; `ended`: cancelled
   * by its caller.
   */
  state: z.enum(['open', 'done', 'ended']),
  /** Number of results written. */
  listed: COUNT,
  /** Number of failed runs by item index; absent for items without failures. */
  failures: z.record(z.string(), COUNT),
  /**
   * Number of runs by item index of which it is in doubt whether they failed;
   * absent for items without such runs.
   */
  doubts: z.record(z.string(), COUNT).optional(),
  /**
   * What is known of these runs by item index, the latest last: a limited
   * number, and none of items that have a result. A job must not be lost for
   * them, so they are left out if a host of another build wrote them in another
   * form.
   */
  failedRuns: z
    .record(z.string(), z.array(FAILED_RUN).readonly())
    .optional()
    .catch(undefined),
  /** Random value that identifies one write of the head. */
  nonce: z.string(),
  /** Time at which the job was done or cancelled, on the store's clock. */
  closedAtMs: z.number().optional(),
  content: z.object({
    kind: z.enum(['rows', 'objects']),
    pieces: COUNT.max(MAX_PIECES),
  }),
});

/** State of a job. */
export type JobHead = Readonly<z.infer<typeof JOB_HEAD>>;

/** A head and its version, which later writes of the head expect. */
export interface VersionedHead {
  readonly head: JobHead;
  readonly version: number;
}

/**
 * Decodes a head.
 *
 * @param row - A row of {@link HEAD_TABLE}.
 * @returns The head; an error if it is none, or if it is not in the row of its
 *   job, so that what is done for it would be done to another job.
 */
export function decodeHead({
  key,
  value,
}: Pick<VersionedRow, 'key' | 'value'>): Outcome<JobHead, UnreadableRow> {
  const head = decodeJson(value, JOB_HEAD);
  if (!head.ok || head.value.id === key) return head;
  return failure({kind: 'unreadable', message: 'the head of another job'});
}

/** @returns The partition of a job. */
export function partitionOf(jobId: string): string {
  return JOB_PARTITIONS[hash32(jobId) % PARTITION_COUNT]!;
}

/** @returns The key of the row that holds the head of a job. */
export function headRef(jobId: string): RowRef {
  return {table: HEAD_TABLE, partition: partitionOf(jobId), key: jobId};
}

/**
 * Tells a host of the head of its job that another host has written, without
 * waiting for an answer. The host learns of it from the store as well, unless
 * its feed skips the row.
 *
 * @param owner - Member ID of the host.
 * @param row - The head.
 */
export type TellOwner = (owner: string, row: VersionedRow) => void;

/** @returns The row of a head in the store. */
export function headRow({head, version}: VersionedHead): VersionedRow {
  return {...headRef(head.id), value: encodeJson(head), version};
}

/**
 * @param rows - Rows of a conflict.
 * @param jobId - ID of the job.
 * @returns The job's head among them; undefined if it is missing or cannot be
 *   decoded.
 */
export function headIn(
  rows: readonly VersionedRow[],
  jobId: string,
): VersionedHead | undefined {
  const row = rows.find(
    ({table, key}) => table === HEAD_TABLE && key === jobId,
  );
  const head = row && decodeHead(row);
  return head?.ok ? {head: head.value, version: row!.version} : undefined;
}

/**
 * @param table - A table with several rows per job.
 * @param jobId - ID of the job.
 * @param index - Index of the piece, result or item.
 * @returns The key of the row.
 */
export function jobRowRef(table: string, jobId: string, index: number): RowRef {
  const digits = String(index).padStart(INDEX_DIGITS, '0');
  return {table, partition: partitionOf(jobId), key: `${jobId}/${digits}`};
}

/**
 * @param table - A table with several rows per job.
 * @param jobId - ID of the job.
 * @param from - First index.
 * @returns The range of the job's rows from that index on.
 */
export function jobRowRange(table: string, jobId: string, from = 0) {
  const {partition, key} = jobRowRef(table, jobId, from);
  // `0` follows `/` in ASCII, so this key sorts after all keys of the job.
  return {table, partition, from: key, to: `${jobId}0`};
}

/** @returns The index in the key of a row of {@link jobRowRef}. */
export function indexOfKey(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}
