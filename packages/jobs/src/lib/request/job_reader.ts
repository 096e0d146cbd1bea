/** Reads jobs from the store: any host can, whoever works on them. */
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
  JOB_HEAD,
  jobRowRange,
  RESULT_TABLE,
  type VersionedHead,
} from './job_rows.js';

/** Why a job could not be read. */
export type JobReadError =
  /** The store says that there is no such job, or no such item. */
  | {readonly kind: 'not-found'}
  /** Nobody can say now. */
  | {readonly kind: 'unsure'; readonly reason: string};

const RESULT = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('here'),
    id: z.string(),
    state: z.enum(['succeeded', 'failed']),
    text: z.string(),
  }),
  /** A text that is too large for a row. */
  z.object({kind: z.literal('object'), name: z.string()}),
]);

/** A result as its row holds it. */
export type StoredResult = Readonly<z.infer<typeof RESULT>>;

/** Results to a page at the most. */
const PAGE_RESULTS = 50;
/** Bytes of text to a page at the most: under the interface's 1 MB. */
const PAGE_BYTES = 700_000;
/** Bytes of items that are kept for those who ask for bodies. */
const KEPT_CONTENT_BYTES = 16 * 1024 * 1024;
/** Jobs whose size is kept. */
const KEPT_TOTALS = 4096;

/** Reads heads, results and bodies. */
export class JobReader {
  private readonly contents = new LRUCache<string, readonly JobItem[]>({
    maxSize: KEPT_CONTENT_BYTES,
    sizeCalculation: sizeOfItems,
  });
  private readonly totals = new LRUCache<string, number>({max: KEPT_TOTALS});

  /** @param store - Where the jobs lie. */
  constructor(private readonly store: RowStore) {}

  /**
   * @param jobId - The job.
   * @returns Its head as it is in the store now.
   */
  async head(jobId: string): Promise<Outcome<VersionedHead, JobReadError>> {
    const {table, partition, key} = headRef(jobId);
    const query = {table, partition, from: key, limit: 1};
    const page = await this.store.read(query);
    if (!page.ok) return failure(unsure(page.err));
    const row = page.value.rows[0];
    if (row?.key !== key) return failure({kind: 'not-found'});
    const head = decodeJson(row.value, JOB_HEAD);
    if (!head.ok) return failure(unsure(head.err));
    this.totals.set(jobId, head.value.items);
    return success({head: head.value, version: row.version});
  }

  /**
   * @param jobId - The job.
   * @param from - The first position wanted.
   * @returns The results from there on.
   */
  async results(
    jobId: string,
    from: number,
  ): Promise<Outcome<ResultPage, JobReadError>> {
    const total = await this.total(jobId);
    if (!total.ok) return total;
    const range = jobRowRange(RESULT_TABLE, jobId, from);
    const page = await this.store.read({...range, limit: PAGE_RESULTS});
    if (!page.ok) return failure(unsure(page.err));
    const results = await this.consecutive(page.value.rows, from);
    if (!results.ok) return results;
    const next = from + results.value.length;
    return success({total: total.value, next, results: results.value});
  }

  /**
   * @param jobId - The job.
   * @returns All its results that are listed.
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
   * @param jobId - The job.
   * @param itemId - One of its items.
   * @returns The item's body as it was handed in.
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
   * @param jobId - The job.
   * @returns Its items as they were handed in.
   */
  async items(
    jobId: string,
  ): Promise<Outcome<readonly JobItem[], JobReadError>> {
    const kept = this.contents.get(jobId);
    if (kept) return success(kept);
    const head = await this.head(jobId);
    if (!head.ok) return head;
    const items = await loadContent(this.store, head.value.head);
    if (!items.ok) return failure(unsure(items.err));
    this.contents.set(jobId, items.value);
    return items;
  }

  /**
   * Keeps what was just handed in, so that its owner need not read it again.
   *
   * @param jobId - The job.
   * @param items - Its items.
   */
  remember(jobId: string, items: readonly JobItem[]): void {
    this.contents.set(jobId, items);
    this.totals.set(jobId, items.length);
  }

  /** The size of a job never changes, so it is asked for once. */
  private async total(jobId: string): Promise<Outcome<number, JobReadError>> {
    const known = this.totals.get(jobId);
    if (known !== undefined) return success(known);
    const head = await this.head(jobId);
    return head.ok ? success(head.value.head.items) : head;
  }

  private async consecutive(
    rows: readonly VersionedRow[],
    from: number,
  ): Promise<Outcome<readonly ItemResult[], JobReadError>> {
    const results: ItemResult[] = [];
    let bytes = 0;
    for (const row of rows) {
      if (indexOfKey(row.key) !== from + results.length) break;
      const result = await this.resultOf(row);
      if (!result.ok) return result;
      bytes += result.value.text.length;
      if (results.length > 0 && bytes > PAGE_BYTES) break;
      results.push(result.value);
    }
    return success(results);
  }

  private async resultOf(
    row: VersionedRow,
  ): Promise<Outcome<ItemResult, JobReadError>> {
    const stored = decodeJson(row.value, RESULT);
    if (!stored.ok) return failure(unsure(stored.err));
    if (stored.value.kind === 'here') return success(stored.value);
    const object = await this.store.getObject(stored.value.name);
    if (!object.ok) return failure(unsure(object.err));
    const inside = decodeJson(object.value, RESULT);
    if (!inside.ok) return failure(unsure(inside.err));
    if (inside.value.kind === 'here') return success(inside.value);
    return failure({kind: 'unsure', reason: 'a result that holds no text'});
  }
}

function unsure(err: RowStoreError | UnreadableRow): JobReadError {
  return {kind: 'unsure', reason: err.kind};
}

function sizeOfItems(items: readonly JobItem[]): number {
  return items.reduce((sum, {body}) => sum + body.length + 1, 1);
}
