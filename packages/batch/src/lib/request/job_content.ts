/**
 * The content of jobs, in objects: the items by chunk, and the ids of all.
 * Every key holds the hash of the whole content, so writing it again writes the
 * same bytes to the same keys, and a resend that arrives in the middle of an
 * accept cannot mix two contents.
 */
import {createHash} from 'node:crypto';
import {failure, sleep, success} from '@oathead/core';
import type {Clock, Outcome} from '@oathead/core';
import type {ObjectStore, StoreError} from '@oathead/stores';
import {stringify} from 'safe-stable-stringify';
import type {JobItem, JobRequest} from './job.js';
import {chunkCount} from './job_rows.js';
import type {JobRow} from './job_rows.js';

/** What the keys of a job's content are made of. */
export type ContentName = Pick<JobRow, 'hash' | 'items' | 'chunkItems'>;

const CONCURRENT_PUTS = 8;
const ITEMS_PER_TURN = 32;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * @param value - Anything that JSON can carry.
 * @returns Its bytes.
 */
export function encodeJson(value: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(value));
}

/**
 * @param bytes - What {@link encodeJson} made.
 * @returns The value.
 */
export function decodeJson<T>(bytes: Uint8Array): T {
  return JSON.parse(decoder.decode(bytes)) as T;
}

/**
 * Hashes a job, some items a turn of the event loop: 61,000 items in one turn
 * would hold up every online request of this process.
 *
 * @param clock - Gives the turns.
 * @param req - A job.
 * @returns SHA-256 of its items and due time, in hexadecimal; the order of the
 *     fields within an item does not matter, the order of the items does.
 */
export async function contentHash(
  clock: Clock,
  req: JobRequest,
): Promise<string> {
  const hash = createHash('sha256').update(`${req.dueAt ?? ''}\n`);
  for (const [i, item] of req.items.entries()) {
    if (i % ITEMS_PER_TURN === 0 && i > 0) await sleep(clock, 0);
    hash.update(`${stringify(item)}\n`);
  }
  return hash.digest('hex');
}

function contentKey(path: string, name: ContentName, part: string): string {
  return `items/${path}/${name.hash}/${name.chunkItems}/${part}`;
}

/**
 * Writes the content of a job, a chunk a turn of the event loop.
 *
 * @param clock - Gives the turns.
 * @param objects - Where to.
 * @param path - The job, by `jobPath`.
 * @param name - Its hash and sizes.
 * @param items - Its items.
 * @returns The first error, if there was one.
 */
export async function putContent(
  clock: Clock,
  objects: ObjectStore,
  path: string,
  name: ContentName,
  items: readonly JobItem[],
): Promise<Outcome<void, StoreError>> {
  const ids = items.map(({id}) => id);
  const puts = [
    () => objects.put(contentKey(path, name, 'ids'), encodeJson(ids)),
    ...[...Array(chunkCount(name)).keys()].map(n => () => {
      const begin = n * name.chunkItems;
      const chunk = items.slice(begin, begin + name.chunkItems);
      return objects.put(contentKey(path, name, `${n}`), encodeJson(chunk));
    }),
  ];
  return inParallel(clock, puts);
}

async function inParallel(
  clock: Clock,
  puts: readonly (() => Promise<Outcome<void, StoreError>>)[],
): Promise<Outcome<void, StoreError>> {
  const left = puts.values();
  let err: StoreError | undefined;
  let lastTurn = Promise.resolve();
  const nextTurn = () => (lastTurn = lastTurn.then(() => sleep(clock, 0)));
  const work = async () => {
    for (const put of left) {
      await nextTurn();
      const outcome = await put();
      if (!outcome.ok) err ??= outcome.err;
      if (err !== undefined) return;
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_PUTS}, work));
  return err === undefined ? success(undefined) : failure(err);
}

/**
 * @param objects - Where from.
 * @param path - The job, by `jobPath`.
 * @param name - Its hash and sizes.
 * @param n - Number of the chunk.
 * @returns The items of the chunk; undefined where the object is gone.
 */
export async function getChunkItems(
  objects: ObjectStore,
  path: string,
  name: ContentName,
  n: number,
): Promise<Outcome<readonly JobItem[] | undefined, StoreError>> {
  return getJson(objects, contentKey(path, name, `${n}`));
}

/**
 * @param objects - Where from.
 * @param path - The job, by `jobPath`.
 * @param name - Its hash and sizes.
 * @returns The ids of all items, in order; undefined where the object is gone.
 */
export async function getItemIds(
  objects: ObjectStore,
  path: string,
  name: ContentName,
): Promise<Outcome<readonly string[] | undefined, StoreError>> {
  return getJson(objects, contentKey(path, name, 'ids'));
}

/**
 * @param objects - Where from.
 * @param key - Key of an object that holds JSON.
 * @returns Its value; undefined where there is none.
 */
export async function getJson<T>(
  objects: ObjectStore,
  key: string,
): Promise<Outcome<T | undefined, StoreError>> {
  const read = await objects.get(key);
  if (!read.ok) return read;
  return success(
    read.value === undefined ? undefined : decodeJson<T>(read.value),
  );
}
