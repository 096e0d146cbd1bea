/** Rows of jobs and chunks, and their keys. */
import type {ItemState} from '@oathead/core';
import {invariant} from '@oathead/core';
import type {JsonObject, Row} from '@oathead/stores';
import {z} from 'zod';

const countsSchema = z
  .object({
    waiting: z.number(),
    done: z.number(),
    failed: z.number(),
    cancelled: z.number(),
    unknown: z.number(),
  })
  .readonly();

const jobSchema = z
  .object({
    caller: z.string(),
    job: z.string(),
    /** SHA-256 of the content: the same id with another hash is another job. */
    hash: z.string(),
    items: z.number(),
    chunkItems: z.number(),
    /** The models and services that its items need. */
    pools: z.array(z.string()).readonly(),
    dueAt: z.number().optional(),
    acceptedAt: z.number(),
    state: z.enum(['open', 'cancelling', 'done', 'cancelled']),
    endedAt: z.number().optional(),
    /** Set once the job has ended. */
    counts: countsSchema.optional(),
  })
  .readonly();

const chunkSchema = z
  .object({
    /** Epoch of the share under which it was last written. */
    epoch: z.number(),
    /** One character for each item. */
    states: z.string(),
    /** Lost attempts, by index, of items that lost any. */
    losses: z.record(z.string(), z.number()).readonly(),
    /** Keys of the objects that hold the outcomes. */
    objects: z.array(z.string()).readonly(),
    closed: z.boolean(),
  })
  .readonly();

/** A job, in row `job/{caller}/{job}`. */
export type JobRow = z.infer<typeof jobSchema>;

/** A chunk, in row `chunk/{caller}/{job}/{n}`. */
export type ChunkRow = z.infer<typeof chunkSchema>;

/** A state as a chunk's row keeps it. */
export type RecordedState =
  | 'waiting'
  | 'started'
  | 'suspect'
  | 'done'
  | 'failed'
  | 'cancelled'
  | 'unknown';

const LETTERS: Readonly<Record<RecordedState, string>> = {
  waiting: 'w',
  started: 's',
  suspect: 'p',
  done: 'd',
  failed: 'f',
  cancelled: 'c',
  unknown: 'u',
};

const STATES = new Map<string, RecordedState>(
  Object.entries(LETTERS).map(([state, letter]) => [
    letter,
    state as RecordedState,
  ]),
);

/** What a row keeps of each state; being picked is not worth a write. */
const RECORDED_AS: Readonly<Record<ItemState, RecordedState>> = {
  waiting: 'waiting',
  leased: 'waiting',
  started: 'started',
  suspect: 'suspect',
  suspectLeased: 'suspect',
  suspectStarted: 'suspect',
  done: 'done',
  failed: 'failed',
  cancelled: 'cancelled',
  unknown: 'unknown',
};

/**
 * @param state - State of an item in memory.
 * @returns The state that its chunk's row keeps.
 */
export function recordedAs(state: ItemState): RecordedState {
  return RECORDED_AS[state];
}

/**
 * @param states - States of the items of a chunk.
 * @returns One character for each.
 */
export function packStates(states: readonly RecordedState[]): string {
  return states.map(state => LETTERS[state]).join('');
}

/**
 * @param letters - One character for each item of a chunk.
 * @returns Their states.
 */
export function unpackStates(letters: string): RecordedState[] {
  return Array.from(letters, letter => {
    const state = STATES.get(letter);
    invariant(state !== undefined, `unknown item state ${letter}`);
    return state;
  });
}

/**
 * Names a job across callers. Neither part can bring in a slash of its own, so
 * that no caller's prefix covers another caller's rows.
 *
 * @param caller - Its caller.
 * @param job - Its id.
 * @returns `caller/job`.
 */
export function jobPath(caller: string, job: string): string {
  return `${encodeURIComponent(caller)}/${encodeURIComponent(job)}`;
}

/** Prefix of all open jobs. */
export const OPEN_PREFIX = 'open/';

/**
 * @param path - A job, by {@link jobPath}.
 * @returns Key of its row.
 */
export function jobKey(path: string): string {
  return `job/${path}`;
}

/**
 * @param caller - A caller.
 * @returns Prefix of the rows of its jobs.
 */
export function jobPrefix(caller: string): string {
  return `job/${encodeURIComponent(caller)}/`;
}

/**
 * @param path - A job, by {@link jobPath}.
 * @returns Key of the row that says that it has not ended.
 */
export function openKey(path: string): string {
  return `${OPEN_PREFIX}${path}`;
}

/**
 * @param path - A job, by {@link jobPath}.
 * @returns Prefix of the rows of its chunks.
 */
export function chunkPrefix(path: string): string {
  return `chunk/${path}/`;
}

/**
 * @param path - A job, by {@link jobPath}.
 * @param n - Number of the chunk.
 * @returns Key of its row; also what its share is found by.
 */
export function chunkKey(path: string, n: number): string {
  return `${chunkPrefix(path)}${n}`;
}

/**
 * @param row - A row `job/…`.
 * @returns The job in it.
 */
export function jobOf(row: Row): JobRow {
  return jobSchema.parse(row.value);
}

/**
 * @param row - A row `chunk/…`.
 * @returns The chunk in it.
 */
export function chunkOf(row: Row): ChunkRow {
  return chunkSchema.parse(row.value);
}

/**
 * @param value - A job or chunk.
 * @returns The same, as a row carries it.
 */
export function rowJson(value: JobRow | ChunkRow): JsonObject {
  return {...value};
}

/**
 * @param job - A job.
 * @returns How many chunks it has.
 */
export function chunkCount(job: Pick<JobRow, 'items' | 'chunkItems'>): number {
  return Math.ceil(job.items / job.chunkItems);
}

/**
 * @param job - A job.
 * @param n - Number of a chunk.
 * @returns How many items the chunk has.
 */
export function chunkLength(
  job: Pick<JobRow, 'items' | 'chunkItems'>,
  n: number,
): number {
  return Math.min(job.chunkItems, job.items - n * job.chunkItems);
}
