/**
 * Serializes the submitted items and splits them into pieces within the limits
 * of the store.
 */
import {failure, success, type Outcome} from '@oathead/core';
import {
  type RowPut,
  type RowStore,
  type RowStoreError,
  type UnreadableRow,
} from '@oathead/stores';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import type {JobItem} from './job.js';
import {
  CONTENT_TABLE,
  indexOfKey,
  jobRowRange,
  jobRowRef,
  type JobHead,
} from './job_rows.js';

/** Limits of the store. */
export interface StoreLimits {
  /** Maximum size of a row's value, in bytes. */
  readonly rowBytes: number;
  /** Maximum size of all values of a transaction, in bytes. */
  readonly transactionBytes: number;
  /** Maximum size of an object, in bytes. */
  readonly objectBytes: number;
  /** Whether a transaction may hold rows of several partitions. */
  readonly acrossPartitions: boolean;
}

/** Content of a job that is ready to be written. */
export interface SplitContent {
  readonly content: JobHead['content'];
  /** Rows written in the transaction that accepts the job. */
  readonly puts: readonly RowPut[];
  /** Objects written before that transaction. */
  readonly objects: readonly StoredObject[];
}

/** An object and its name in the store. */
export interface StoredObject {
  readonly name: string;
  readonly bytes: Uint8Array;
}

/** Error of reading the content of a job. */
export type ContentError = RowStoreError | UnreadableRow;

const ITEMS = z.array(
  z.object({
    id: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    body: z.instanceof(Uint8Array),
    tokens: z.number(),
  }),
);

/**
 * Serializes items and splits them into pieces.
 *
 * @param jobId - ID of the job.
 * @param items - Items of the job.
 * @param limits - Size limits of the store.
 * @returns Rows if the content fits into one transaction, else objects.
 */
export function splitContent(
  jobId: string,
  items: readonly JobItem[],
  limits: StoreLimits,
): SplitContent {
  const bytes: Uint8Array = pack(items);
  if (bytes.length <= limits.transactionBytes) {
    const puts = splitBytes(bytes, limits.rowBytes).map((value, i) => ({
      ...jobRowRef(CONTENT_TABLE, jobId, i),
      value,
    }));
    return {content: {kind: 'rows', pieces: puts.length}, puts, objects: []};
  }
  const objects = splitBytes(bytes, limits.objectBytes).map((piece, i) => ({
    name: contentObjectName(jobId, i),
    bytes: piece,
  }));
  const content = {kind: 'objects', pieces: objects.length} as const;
  return {content, puts: [], objects};
}

/**
 * Reads the items of a job.
 *
 * @param store - Store that holds the pieces.
 * @param head - Head of the job.
 * @returns The items as submitted; an error if a piece cannot be read, is
 *   missing or cannot be decoded.
 */
export async function loadContent(
  store: RowStore,
  head: JobHead,
): Promise<Outcome<readonly JobItem[], ContentError>> {
  const pieces = await LOADERS[head.content.kind](store, head);
  if (!pieces.ok) return pieces;
  if (pieces.value.length !== head.content.pieces)
    return failure({
      kind: 'unreadable',
      message: 'job content is incomplete: pieces are missing',
    });
  return unpackItems(Buffer.concat(pieces.value));
}

/** @returns The name of the object that holds one piece of a job. */
export function contentObjectName(jobId: string, piece: number): string {
  return `job-${encodeURIComponent(jobId)}-${piece}`;
}

type Loader = (
  store: RowStore,
  head: JobHead,
) => Promise<Outcome<readonly Uint8Array[], RowStoreError>>;

const LOADERS: Readonly<Record<JobHead['content']['kind'], Loader>> = {
  async rows(store, head) {
    const pieces: Uint8Array[] = [];
    for (let from = 0; ;) {
      const range = jobRowRange(CONTENT_TABLE, head.id, from);
      const page = await store.read(range);
      if (!page.ok) return page;
      const {rows, hasMore} = page.value;
      pieces.push(...rows.map(row => row.value));
      const last = rows.at(-1);
      if (!hasMore || !last) return success(pieces);
      from = indexOfKey(last.key) + 1;
    }
  },
  async objects(store, head) {
    const pieces: Uint8Array[] = [];
    for (let i = 0; i < head.content.pieces; i++) {
      const piece = await store.getObject(contentObjectName(head.id, i));
      if (!piece.ok) return piece;
      pieces.push(piece.value);
    }
    return success(pieces);
  },
};

function unpackItems(
  bytes: Uint8Array,
): Outcome<readonly JobItem[], UnreadableRow> {
  try {
    return success(ITEMS.parse(unpack(bytes)));
  } catch (err) {
    return failure({kind: 'unreadable', message: String(err)});
  }
}

function splitBytes(
  bytes: Uint8Array,
  pieceBytes: number,
): readonly Uint8Array[] {
  const pieces: Uint8Array[] = [];
  for (let at = 0; at < bytes.length; at += pieceBytes)
    pieces.push(bytes.subarray(at, at + pieceBytes));
  return pieces;
}
