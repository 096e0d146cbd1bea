/** Reads jobs from the store, on any host, whichever host owns them. */
import {failure, success, type Outcome} from '@oathead/core';
import {
  decodeJson,
  type RowStore,
  type RowStoreError,
  type UnreadableRow,
  type VersionedRow,
} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import {z} from 'zod';
import type {ItemResult, JobItem, ResultPage} from './job.js';
import {loadContent} from './job_content.js';
import {
  headRef,
  indexOfKey,
  decodeHead,
  jobRowRange,
  RESULT_TABLE,
  type VersionedHead,
} from './job_rows.js';

/** Error of reading a job. */
export type JobReadError =
  /** The store has no such job, or the job has no such item. */
  | {readonly kind: 'not-found'}
  /** The store did not respond, or its data could not be decoded. */
  | {readonly kind: 'unsure'; readonly reason: string};

/** Schema of the row of a result. */
export const STORED_RESULT = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('here'),
    id: z.string(),
    state: z.enum(['succeeded', 'failed']),
    text: z.string(),
  }),
  /** Reference to an object, for a text that is too large for a row. */
  z.object({kind: z.literal('object'), name: z.string()}),
]);

/** A result as stored in its row. */
export type StoredResult = Readonly<z.infer<typeof STORED_RESULT>>;

/** A result and its size as JSON, in bytes. */
interface ReadResult {
  readonly result: ItemResult;
  readonly bytes: number;
}

/** Maximum number of results per page. */
const MAX_PAGE_RESULTS = 50;
/**
 * Maximum size of the results of a page, in bytes: below the limit of 1 MB of the
 * batch interface.
 */
const MAX_PAGE_BYTES = 700_000;
/** Size of the cache of submitted items, in bytes of their bodies. */
const CONTENT_CACHE_BYTES = 16 * 1024 * 1024;
/** Maximum number of jobs whose item count is cached. */
const MAX_CACHED_TOTALS = 4096;

/** Reads heads, results and item bodies. */
export class JobReader {
  private readonly contentCache = new LRUCache<string, readonly JobItem[]>({
    maxSize: CONTENT_CACHE_BYTES,
    sizeCalculation: sizeOfItems,
  });
  private readonly totalCache = new LRUCache<string, number>({
    max: MAX_CACHED_TOTALS,
  });

  /** @param store - Store that holds the jobs. */
  constructor(private readonly store: RowStore) {}

  /**
   * Reads the head of a job.
   *
   * @param jobId - ID of the job.
   * @returns The current head and its version.
   */
  async head(jobId: string): Promise<Outcome<VersionedHead, JobReadError>> {
    const {table, partition, key} = headRef(jobId);
    const query = {table, partition, from: key, limit: 1};
    const page = await this.store.read(query);
    if (!page.ok) return failure(toReadError(page.err));
    const row = page.value.rows[0];
    if (row?.key !== key) return failure({kind: 'not-found'});
    const head = decodeHead(row);
    if (!head.ok) return failure(toReadError(head.err));
    this.totalCache.set(jobId, head.value.items);
    return success({head: head.value, version: row.version});
  }

  /**
   * Reads one page of results.
   *
   * @param jobId - ID of the job.
   * @param from - Position of the first result.
   * @returns The results from that position on.
   */
  async results(
    jobId: string,
    from: number,
  ): Promise<Outcome<ResultPage, JobReadError>> {
    const total = await this.total(jobId);
    if (!total.ok) return total;
    const range = jobRowRange(RESULT_TABLE, jobId, from);
    const page = await this.store.read({...range, limit: MAX_PAGE_RESULTS});
    if (!page.ok) return failure(toReadError(page.err));
    const results = await this.consecutiveResults(page.value.rows, from);
    if (!results.ok) return results;
    const next = from + results.value.length;
    return success({total: total.value, next, results: results.value});
  }

  /**
   * Reads all pages of results.
   *
   * @param jobId - ID of the job.
   * @returns All results written so far.
   */
  async allResults(
    jobId: string,
  ): Promise<Outcome<readonly ItemResult[], JobReadError>> {
    const all: ItemResult[] = [];
    for (;;) {
      const page = await this.results(jobId, all.length);
      if (!page.ok) return page;
      if (page.value.results.length === 0) return success(all);
      all.push(...page.value.results);
    }
  }

  /**
   * Reads the request body of an item.
   *
   * @param jobId - ID of the job.
   * @param itemId - ID of the item.
   * @returns The item's body as submitted.
   */
  async body(
    jobId: string,
    itemId: string,
  ): Promise<Outcome<Uint8Array, JobReadError>> {
    const items = await this.items(jobId);
    if (!items.ok) return items;
    const item = items.value.find(({id}) => id === itemId);
    return item ? success(item.body) : failure({kind: 'not-found'});
  }

  /**
   * Reads the items of a job, from the cache if possible.
   *
   * @param jobId - ID of the job.
   * @returns The items as submitted.
   */
  async items(
    jobId: string,
  ): Promise<Outcome<readonly JobItem[], JobReadError>> {
    const cached = this.contentCache.get(jobId);
    if (cached) return success(cached);
    const head = await this.head(jobId);
    if (!head.ok) return head;
    const items = await loadContent(this.store, head.value.head);
    if (!items.ok) return failure(toReadError(items.err));
    this.contentCache.set(jobId, items.value);
    return items;
  }

  /**
   * Caches the items of a job that was just submitted, so that its owner need
   * not read them from the store.
   *
   * @param jobId - ID of the job.
   * @param items - Items of the job.
   */
  cacheItems(jobId: string, items: readonly JobItem[]): void {
    this.contentCache.set(jobId, items);
    this.totalCache.set(jobId, items.length);
  }

  /**
   * @returns The number of items of a job. It never changes, so it is cached.
   */
  private async total(jobId: string): Promise<Outcome<number, JobReadError>> {
    const cached = this.totalCache.get(jobId);
    if (cached !== undefined) return success(cached);
    const head = await this.head(jobId);
    return head.ok ? success(head.value.head.items) : head;
  }

  private async consecutiveResults(
    rows: readonly VersionedRow[],
    from: number,
  ): Promise<Outcome<readonly ItemResult[], JobReadError>> {
    const results: ItemResult[] = [];
    let bytes = 0;
    for (const row of rows) {
      if (indexOfKey(row.key) !== from + results.length) break;
      const found = await this.resultOf(row);
      if (!found.ok) return found;
      bytes += found.value.bytes;
      if (results.length > 0 && bytes > MAX_PAGE_BYTES) break;
      results.push(found.value.result);
    }
    return success(results);
  }

  private async resultOf(
    row: VersionedRow,
  ): Promise<Outcome<ReadResult, JobReadError>> {
    const stored = decodeJson(row.value, STORED_RESULT);
    if (!stored.ok) return failure(toReadError(stored.err));
    if (stored.value.kind === 'here')
      return success({result: stored.value, bytes: row.value.length});
    const object = await this.store.getObject(stored.value.name);
    if (!object.ok) return failure(toReadError(object.err));
    const objectResult = decodeJson(object.value, STORED_RESULT);
    if (!objectResult.ok) return failure(toReadError(objectResult.err));
    if (objectResult.value.kind === 'here')
      return success({result: objectResult.value, bytes: object.value.length});
    return failure({
      kind: 'unsure',
      reason: 'the result object contains no text',
    });
  }
}

function toReadError(err: RowStoreError | UnreadableRow): JobReadError {
  return {kind: 'unsure', reason: err.kind};
}

function sizeOfItems(items: readonly JobItem[]): number {
  return items.reduce((sum, {body}) => sum + body.length + 1, 1);
}
