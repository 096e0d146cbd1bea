/** Reads a job whose owner this host is: its items and what is left of them. */
import {failure, success, type Outcome} from '@oathead/core';
import {decodeJson, type RowStore} from '@oathead/stores';
import {z} from 'zod';
import type {JobReader, JobReadError} from '../request/job_reader.js';
import {
  indexOfKey,
  jobRowRange,
  PARTIAL_TABLE,
  type JobHead,
  type VersionedHead,
} from '../request/job_rows.js';
import {newItemWork, type ItemWork, type PartialText} from './item_work.js';

/** Dependencies of a {@link JobLoader}. */
export interface JobLoaderContext {
  readonly store: RowStore;
  readonly reader: JobReader;
}

/** A head and the items that have no result under it. */
export interface LoadedJob {
  readonly head: VersionedHead;
  readonly work: readonly ItemWork[];
}

/** Why a job could not be read for its owner. */
export type LoadError =
  | JobReadError
  /** Another host owns the job by now. */
  | {readonly kind: 'other-owner'};

const PARTIAL = z.object({
  lastEventId: z.number().optional(),
  texts: z.array(z.string()),
  /** Absent in rows of builds that do not record it. */
  softwareVersion: z.string().optional(),
});

/** Reads jobs for their owner. */
export class JobLoader {
  private readonly loading = new Set<string>();

  /**
   * @param context - The store and a reader of jobs.
   * @param self - Member ID of this host.
   * @param newestHead - Returns the newest known head of a job.
   */
  constructor(
    private readonly context: JobLoaderContext,
    private readonly self: string,
    private readonly newestHead: (id: string) => VersionedHead | undefined,
  ) {}

  /**
   * @param id - ID of a job.
   * @returns Whether it is being read.
   */
  isLoading(id: string): boolean {
    return this.loading.has(id);
  }

  /**
   * Reads a job.
   *
   * @param found - Head that makes this host the owner.
   * @param isNew - Whether this host has just accepted the job, so that it has
   *   no results.
   * @returns The newest head and the items that are left under it.
   */
  async load(
    found: VersionedHead,
    isNew: boolean,
  ): Promise<Outcome<LoadedJob, LoadError>> {
    const {id} = found.head;
    this.loading.add(id);
    try {
      return await this.loadNewest(found, isNew);
    } finally {
      this.loading.delete(id);
    }
  }

  /**
   * Reads the items again if the head has changed meanwhile. Guards against
   * results and failed runs that another owner recorded while they were read.
   * Under the newer head, this host could list an item a second time.
   */
  private async loadNewest(
    found: VersionedHead,
    isNew: boolean,
  ): Promise<Outcome<LoadedJob, LoadError>> {
    for (let head = found; ;) {
      const work = await this.itemsLeft(head.head, isNew && head === found);
      if (!work.ok) return work;
      const newest = this.newestHead(found.head.id);
      if (!newest || newest.version <= head.version)
        return success({head, work: work.value});
      if (newest.head.owner !== this.self)
        return failure({kind: 'other-owner'});
      head = newest;
    }
  }

  /** @returns The items without a result. */
  private async itemsLeft(
    head: JobHead,
    isNew: boolean,
  ): Promise<Outcome<readonly ItemWork[], JobReadError>> {
    const {reader} = this.context;
    const items = await reader.items(head.id);
    if (!items.ok) return items;
    const results = isNew ? undefined : await reader.allResults(head.id);
    if (results && !results.ok) return results;
    // Guards against an item that is listed twice, from a response that is older
    // than the head.
    if (results && results.value.length < head.listed)
      return failure({kind: 'unsure', reason: 'results older than the head'});
    const listed = new Set(results?.value.map(({id}) => id));
    const partials = isNew ? new Map() : await this.partials(head);
    const work = items.value
      .map((item, i) => {
        const {[i]: failures = 0} = head.failures;
        const {[i]: doubts = 0} = head.doubts ?? {};
        const failedRuns = head.failedRuns?.[i] ?? [];
        const partial = partials.get(i);
        return newItemWork(i, item, failures, partial, doubts, failedRuns);
      })
      .filter(({item}) => !listed.has(item.id));
    return success(work);
  }

  private async partials(
    head: JobHead,
  ): Promise<ReadonlyMap<number, PartialText>> {
    const texts = new Map<number, PartialText>();
    for (let from = 0; ;) {
      const range = jobRowRange(PARTIAL_TABLE, head.id, from);
      const page = await this.context.store.read(range);
      // Without partial texts the items start from the beginning.
      if (!page.ok) return texts;
      const {rows, hasMore} = page.value;
      for (const {key, value} of rows) {
        const partial = decodeJson(value, PARTIAL);
        if (!partial.ok) continue;
        texts.set(indexOfKey(key), partial.value);
      }
      const last = rows.at(-1);
      if (!hasMore || !last) return texts;
      from = indexOfKey(last.key) + 1;
    }
  }
}
