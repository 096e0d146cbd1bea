/** What was handed in, packed and cut into pieces that the store takes. */
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
  jobRowRange,
  jobRowRef,
  type JobHead,
} from './job_rows.js';

/** What the store takes in one piece. */
export interface StoreLimits {
  /** Bytes of a row's value at the most. */
  readonly rowBytes: number;
  /** Bytes of all values of a transaction at the most. */
  readonly transactionBytes: number;
  /** Bytes of an object at the most. */
  readonly objectBytes: number;
}

/** Content that is ready to be written. */
export interface CutContent {
  readonly content: JobHead['content'];
  /** Rows that go into the transaction that accepts the job. */
  readonly puts: readonly RowPut[];
  /** Objects that are written before it. */
  readonly objects: readonly StoredObject[];
}

/** An object with its name. */
export interface StoredObject {
  readonly name: string;
  readonly bytes: Uint8Array;
}

/** Why content could not be read. */
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
 * @param jobId - The job.
 * @param items - Its items.
 * @param limits - What the store takes.
 * @returns The pieces: rows where they fit one transaction, else objects.
 */
export function cutContent(
  jobId: string,
  items: readonly JobItem[],
  limits: StoreLimits,
): CutContent {
  const bytes: Uint8Array = pack(items);
  if (bytes.length <= limits.transactionBytes) {
    const puts = cut(bytes, limits.rowBytes).map((value, i) => ({
      ...jobRowRef(CONTENT_TABLE, jobId, i),
      value,
    }));
    return {content: {kind: 'rows', pieces: puts.length}, puts, objects: []};
  }
  const objects = cut(bytes, limits.objectBytes).map((piece, i) => ({
    name: contentName(jobId, i),
    bytes: piece,
  }));
  const content = {kind: 'objects', pieces: objects.length} as const;
  return {content, puts: [], objects};
}

/**
 * @param store - Where the pieces lie.
 * @param head - Of the job.
 * @returns The items as they were handed in.
 */
export async function loadContent(
  store: RowStore,
  head: JobHead,
): Promise<Outcome<readonly JobItem[], ContentError>> {
  const pieces = await LOADERS[head.content.kind](store, head);
  if (!pieces.ok) return pieces;
  if (pieces.value.length !== head.content.pieces)
    return failure({kind: 'unreadable', message: 'pieces are missing'});
  return unpackItems(Buffer.concat(pieces.value));
}

/** @returns The name of the object with one piece of a job. */
export function contentName(jobId: string, piece: number): string {
  return `job-${encodeURIComponent(jobId)}-${piece}`;
}

type Loader = (
  store: RowStore,
  head: JobHead,
) => Promise<Outcome<readonly Uint8Array[], RowStoreError>>;

const LOADERS: Readonly<Record<JobHead['content']['kind'], Loader>> = {
  async rows(store, head) {
    const page = await store.read(jobRowRange(CONTENT_TABLE, head.id));
    if (!page.ok) return page;
    return success(page.value.rows.map(row => row.value));
  },
  async objects(store, head) {
    const pieces: Uint8Array[] = [];
    for (let i = 0; i < head.content.pieces; i++) {
      const piece = await store.getObject(contentName(head.id, i));
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

function cut(bytes: Uint8Array, pieceBytes: number): readonly Uint8Array[] {
  const pieces: Uint8Array[] = [];
  for (let at = 0; at < bytes.length; at += pieceBytes)
    pieces.push(bytes.subarray(at, at + pieceBytes));
  return pieces;
}
