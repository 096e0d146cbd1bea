/** Accepting and cancelling jobs. */
import {
  failure,
  mayHaveRun,
  nextJobState,
  notRun,
  poolOf,
  sleep,
  success,
} from '@oathead/core';
import type {
  Clock,
  Counters,
  Outcome,
  Problem,
  Random,
  Refusal,
} from '@oathead/core';
import {bumpHead, withJob} from '@oathead/membership';
import type {
  CommitOutcome,
  ObjectStore,
  Row,
  RowWrite,
  StoreError,
  TableStore,
} from '@oathead/stores';
import type {BatchSettings} from '../process/batch_settings.js';
import type {JobRequest} from './job.js';
import {contentHash, putContent} from './job_content.js';
import {jobKey, jobOf, jobPath, openKey, rowJson} from './job_rows.js';
import type {JobRow} from './job_rows.js';

/** What the parts of batch jobs work with. */
export interface BatchDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly table: TableStore;
  readonly objects: ObjectStore;
}

const MAX_ATTEMPTS = 4;
const BACKOFF_MS = 200;
const MAX_ID_LENGTH = 256;
const MAX_PROBLEMS = 20;

/** Accepts and cancels jobs. */
export class JobIntake {
  /**
   * @param deps - Stores, clock, randomness and counters.
   * @param settings - Limits.
   */
  constructor(
    private readonly deps: BatchDeps,
    private readonly settings: BatchSettings,
  ) {}

  /**
   * Accepts a job, once: a resend of the same content is the same job.
   *
   * @param caller - Who sends it.
   * @param req - The job.
   * @returns Its row. `not-run` is only said when no transaction that accepts
   *     the job can still take effect.
   */
  async accept(
    caller: string,
    req: JobRequest,
  ): Promise<Outcome<JobRow, Refusal>> {
    const problems = this.problemsOf(req);
    if (problems.length > 0) return failure(invalid(problems));
    const path = jobPath(caller, req.id);
    const known = await this.read(path);
    if (!known.ok) return failure(unavailable());
    const row = await this.rowOf(caller, req);
    if (known.value !== undefined) return sameJob(jobOf(known.value), row);
    const put = await this.putContent(path, row, req);
    if (!put.ok) return failure(unavailable());
    return this.commit(path, row);
  }

  /**
   * Cancels a job. Cancelling again, or after its end, changes nothing.
   *
   * @param caller - Who asks.
   * @param job - The job's id.
   * @returns Its row after it.
   */
  async cancel(caller: string, job: string): Promise<Outcome<JobRow, Refusal>> {
    const path = jobPath(caller, job);
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const read = await this.read(path);
      if (!read.ok) return failure(unavailable());
      const base = read.value;
      if (base === undefined) return failure(noSuchJob());
      const before = jobOf(base);
      const state = nextJobState(before.state, {type: 'cancel'});
      if (state === before.state) return success(before);
      const after = {...before, state};
      const outcome = await this.write(path, base, after);
      if (outcome.kind === 'committed') return success(after);
      if (outcome.kind === 'unavailable') return failure(unavailable());
      if (outcome.kind === 'unknown') return failure(unresolved());
    }
    return failure(unavailable());
  }

  private problemsOf(req: JobRequest): readonly Problem[] {
    const {maxItems} = this.settings;
    const problems: Problem[] = [];
    const add = (path: string, message: string) =>
      problems.push({path, message});
    if (!isId(req.id)) add('id', idRule());
    if (req.items.length === 0) add('items', 'must not be empty');
    if (req.items.length > maxItems) add('items', `at most ${maxItems} items`);
    if (req.dueAt !== undefined && !Number.isFinite(req.dueAt)) {
      add('dueAt', 'must be milliseconds since the Unix epoch');
    }
    const seen = new Set<string>();
    for (const [i, {id}] of req.items.entries()) {
      if (problems.length >= MAX_PROBLEMS) break;
      if (!isId(id)) add(`items.${i}.id`, idRule());
      if (seen.has(id)) add(`items.${i}.id`, 'must be unique within the job');
      seen.add(id);
    }
    return problems;
  }

  private async rowOf(caller: string, req: JobRequest): Promise<JobRow> {
    return {
      caller,
      job: req.id,
      hash: await contentHash(this.deps.clock, req),
      items: req.items.length,
      chunkItems: this.settings.chunkItems,
      pools: [...new Set(req.items.map(({work}) => poolOf(work)))].sort(),
      dueAt: req.dueAt,
      acceptedAt: this.deps.clock.wallTime(),
      state: 'open',
    };
  }

  private async putContent(
    path: string,
    row: JobRow,
    req: JobRequest,
  ): Promise<Outcome<void, StoreError>> {
    for (let attempt = 1; ; attempt++) {
      const {clock, objects} = this.deps;
      const put = await putContent(clock, objects, path, row, req.items);
      if (put.ok || attempt === MAX_ATTEMPTS) return put;
      await this.pause(attempt);
    }
  }

  private async commit(
    path: string,
    row: JobRow,
  ): Promise<Outcome<JobRow, Refusal>> {
    const open = {kind: 'put', key: openKey(path), value: {}} as const;
    const outcome = await this.write(path, undefined, row, [open]);
    if (outcome.kind === 'committed') return success(row);
    if (outcome.kind === 'unavailable') return failure(unavailable());
    if (outcome.kind === 'unknown') return failure(unresolved());
    // Somebody was quicker: a resend of the same job, or another content.
    const read = await this.read(path);
    const stored = read.ok ? read.value : undefined;
    if (stored === undefined) return failure(unresolved());
    return sameJob(jobOf(stored), row);
  }

  private write(
    path: string,
    base: Row | undefined,
    row: JobRow,
    writes: readonly RowWrite[] = [],
  ): Promise<CommitOutcome> {
    const marker = {key: jobKey(path), base, value: rowJson(row)};
    return bumpHead(this.deps, {marker, writes}, head => withJob(head, path));
  }

  private async read(
    path: string,
  ): Promise<Outcome<Row | undefined, StoreError>> {
    const read = await this.deps.table.read([jobKey(path)]);
    return read.ok ? success(read.value[0]) : read;
  }

  private pause(attempt: number): Promise<void> {
    const {clock, random} = this.deps;
    return sleep(clock, BACKOFF_MS * attempt * random.float());
  }
}

function isId(id: string): boolean {
  return id.length > 0 && id.length <= MAX_ID_LENGTH;
}

function idRule(): string {
  return `must have 1 to ${MAX_ID_LENGTH} characters`;
}

function sameJob(stored: JobRow, sent: JobRow): Outcome<JobRow, Refusal> {
  if (stored.hash === sent.hash) return success(stored);
  return failure(notRun('key-conflict', 'a job of this id has other content'));
}

function invalid(problems: readonly Problem[]): Refusal {
  const message = 'the job is not valid';
  return {kind: 'invalid-request', message, ran: 'not-run', problems};
}

/** @returns That a caller has no job of the id. */
export function noSuchJob(): Refusal {
  return notRun('not-found', 'no such job');
}

/** @returns That the store gives no answer, and nothing was changed. */
export function unavailable(): Refusal {
  const message = 'the store does not answer';
  return notRun('store-unavailable', message, BACKOFF_MS * MAX_ATTEMPTS);
}

function unresolved(): Refusal {
  return mayHaveRun(
    'store-unavailable',
    'the store does not answer; the change may have taken effect: send it again',
  );
}
