/** Reading jobs: status, lists and results. */
import {failure, mayHaveRun, notRun, success} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import type {Row, StoreError} from '@oathead/stores';
import type {StoredOutcome} from '../process/chunk_work.js';
import {NO_ITEMS, addCounts, countStates, resultState} from './item_counts.js';
import type {ItemResult, JobStatus, ResultLine} from './job.js';
import {getItemIds, getJson} from './job_content.js';
import {noSuchJob, unavailable} from './job_intake.js';
import type {BatchDeps} from './job_intake.js';
import {
  chunkCount,
  chunkKey,
  chunkLength,
  chunkOf,
  chunkPrefix,
  jobKey,
  jobOf,
  jobPath,
  jobPrefix,
  unpackStates,
} from './job_rows.js';
import type {ChunkRow, JobRow} from './job_rows.js';

const PAGE = 1_000;

type Read<T> = Promise<Outcome<T, Refusal>>;

/** Reads jobs. */
export class JobReader {
  /** @param deps - Stores. */
  constructor(private readonly deps: BatchDeps) {}

  /**
   * @param caller - Who asks.
   * @param job - The job's id.
   * @returns Its status.
   */
  async status(caller: string, job: string): Read<JobStatus> {
    const row = await this.row(caller, job);
    return row.ok ? this.statusOf(row.value) : row;
  }

  /**
   * @param row - A job.
   * @returns Its status. The items of a job that has not ended are counted from
   *     the rows of its chunks.
   */
  async statusOf(row: JobRow): Read<JobStatus> {
    if (row.counts !== undefined) return success(statusFrom(row, row.counts));
    const prefix = chunkPrefix(jobPath(row.caller, row.job));
    const rows = await this.list(prefix);
    if (!rows.ok) return failure(unavailable());
    const counted = rows.value
      .map(stored => countStates(chunkOf(stored).states))
      .reduce(addCounts, NO_ITEMS);
    const {done, failed, cancelled, unknown} = counted;
    const left = row.items - done - failed - cancelled - unknown;
    return success(statusFrom(row, {...counted, waiting: left}));
  }

  /**
   * @param caller - Who asks.
   * @returns The status of each of its jobs, without counting the items of
   *     those that have not ended.
   */
  async jobs(caller: string): Read<readonly JobStatus[]> {
    const rows = await this.list(jobPrefix(caller));
    if (!rows.ok) return failure(unavailable());
    return success(rows.value.map(row => this.uncounted(jobOf(row))));
  }

  /**
   * @param row - A job.
   * @returns Its status, all items of a job that has not ended as `waiting`.
   */
  uncounted(row: JobRow): JobStatus {
    const counts = row.counts ?? {...NO_ITEMS, waiting: row.items};
    return statusFrom(row, counts);
  }

  /**
   * @param caller - Who asks.
   * @param job - The job's id.
   * @returns Its row.
   */
  async row(caller: string, job: string): Read<JobRow> {
    const key = jobKey(jobPath(caller, job));
    const read = await this.deps.table.read([key]);
    if (!read.ok) return failure(unavailable());
    const stored = read.value[0];
    return stored === undefined ? failure(noSuchJob()) : success(jobOf(stored));
  }

  /**
   * @param caller - Who asks.
   * @param job - The job's id.
   * @param after - Only items behind this one.
   * @returns One line for each item, in the order of the items; those without
   *     an outcome so far are `waiting`.
   */
  async results(
    caller: string,
    job: string,
    after?: string,
  ): Read<AsyncIterable<ResultLine>> {
    const row = await this.row(caller, job);
    if (!row.ok) return row;
    const path = jobPath(caller, job);
    const ids = await getItemIds(this.deps.objects, path, row.value);
    if (!ids.ok) return failure(unavailable());
    if (ids.value === undefined) return failure(gone());
    const at = after === undefined ? -1 : ids.value.indexOf(after);
    if (after !== undefined && at < 0) return failure(noSuchItem());
    return success(this.lines(path, row.value, ids.value, at + 1));
  }

  private async *lines(
    path: string,
    job: JobRow,
    ids: readonly string[],
    begin: number,
  ): AsyncIterable<ResultLine> {
    const first = Math.floor(begin / job.chunkItems);
    for (let n = first; n < chunkCount(job); n++) {
      const results = await this.chunkResults(path, job, ids, n);
      if (!results.ok) {
        yield {kind: 'refused', refusal: results.err};
        return;
      }
      const skip = Math.max(0, begin - n * job.chunkItems);
      for (const result of results.value.slice(skip)) {
        yield {kind: 'item', result};
      }
    }
  }

  private async chunkResults(
    path: string,
    job: JobRow,
    ids: readonly string[],
    n: number,
  ): Read<readonly ItemResult[]> {
    const read = await this.deps.table.read([chunkKey(path, n)]);
    if (!read.ok) return failure(unavailable());
    const stored = read.value[0];
    const row = stored && chunkOf(stored);
    const bodies = await this.outcomes(row);
    if (!bodies.ok) return bodies;
    const states = row ? unpackStates(row.states) : [];
    const begin = n * job.chunkItems;
    const results = [...Array(chunkLength(job, n)).keys()].map(index => {
      const state = resultState(states[index] ?? 'waiting');
      const body = state === 'waiting' ? undefined : bodies.value.get(index);
      return {
        item: ids[begin + index]!,
        state,
        ...(body?.answer && {answer: body.answer}),
        ...(refusalOf(state, body) && {refusal: refusalOf(state, body)}),
      };
    });
    return success(results);
  }

  private async outcomes(
    row: ChunkRow | undefined,
  ): Read<ReadonlyMap<number, StoredOutcome>> {
    const bodies = new Map<number, StoredOutcome>();
    for (const key of row?.objects ?? []) {
      const read = await getJson<StoredOutcome[]>(this.deps.objects, key);
      if (!read.ok) return failure(unavailable());
      if (read.value === undefined) return failure(gone());
      for (const body of read.value) bodies.set(body.index, body);
    }
    return success(bodies);
  }

  private async list(
    prefix: string,
  ): Promise<Outcome<readonly Row[], StoreError>> {
    const rows: Row[] = [];
    let after: string | undefined;
    do {
      const page = await this.deps.table.list(prefix, {after, limit: PAGE});
      if (!page.ok) return page;
      rows.push(...page.value);
      after = page.value.length === PAGE ? page.value.at(-1)!.key : undefined;
    } while (after !== undefined);
    return success(rows);
  }
}

function statusFrom(row: JobRow, counts: JobStatus['counts']): JobStatus {
  return {
    id: row.job,
    state: row.state,
    items: row.items,
    counts,
    ...(row.dueAt !== undefined && {dueAt: row.dueAt}),
    acceptedAt: row.acceptedAt,
    ...(row.endedAt !== undefined && {endedAt: row.endedAt}),
  };
}

/** A sweep closes chunks without objects; their items get their reason here. */
function refusalOf(
  state: ItemResult['state'],
  body: StoredOutcome | undefined,
): Refusal | undefined {
  if (body?.refusal) return body.refusal;
  if (state === 'cancelled') {
    return mayHaveRun('cancelled', 'the job was cancelled');
  }
  if (state === 'unknown') {
    return mayHaveRun('outcome-unknown', 'its holder was lost as it ran');
  }
  return undefined;
}

function gone(): Refusal {
  return mayHaveRun('gone', 'the content of the job is no longer stored');
}

function noSuchItem(): Refusal {
  return notRun('not-found', 'no such item in the job');
}
