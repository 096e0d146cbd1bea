/** Durable batch jobs: what callers can do with them, and their execution. */
import {DisposableStore, isFinalJobState, success} from '@oathead/core';
import type {ItemRunner, Outcome, Refusal} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {JobRequest, JobStatus, ResultLine} from '../request/job.js';
import {JobIntake} from '../request/job_intake.js';
import type {BatchDeps} from '../request/job_intake.js';
import {JobReader} from '../request/job_reader.js';
import type {JobRow} from '../request/job_rows.js';
import {BATCH_DEFAULTS} from './batch_settings.js';
import type {BatchSettings} from './batch_settings.js';
import {BatchWorker} from './batch_worker.js';
import {JobCloser} from './job_closer.js';
import {JobWatch} from './job_watch.js';

/** What {@link BatchJobs} works with. */
export interface BatchJobsDeps extends BatchDeps {
  readonly membership: Membership;
  readonly runner: ItemRunner;
  /** The share of a caller under contention; 1 for all by default. */
  readonly weightOf?: (caller: string) => number;
}

/** Durable batch jobs. */
export class BatchJobs implements Disposable {
  private readonly store = new DisposableStore();
  private readonly intake: JobIntake;
  private readonly reader: JobReader;
  private readonly worker: BatchWorker;
  private readonly watcher: JobWatch;

  /**
   * Begins to work off jobs at once.
   *
   * @param deps - Stores, membership, runner, clock, randomness and counters.
   * @param settings - What differs from the defaults.
   */
  constructor(deps: BatchJobsDeps, settings: Partial<BatchSettings> = {}) {
    const all = {...BATCH_DEFAULTS, ...settings};
    const {membership, runner, weightOf = () => 1} = deps;
    this.intake = new JobIntake(deps, all);
    this.reader = new JobReader(deps);
    this.watcher = new JobWatch(this.reader, membership);
    this.worker = this.store.add(
      new BatchWorker(deps, all, membership, runner, weightOf),
    );
    this.store.add(
      new JobCloser(deps, all.closeMs, membership, this.worker.board),
    );
  }

  /**
   * Accepts a job, once: a resend of the same content is the same job.
   *
   * @param caller - Who sends it.
   * @param req - The job.
   * @returns Its status, once it is durable; or why it was not accepted.
   */
  async accept(
    caller: string,
    req: JobRequest,
  ): Promise<Outcome<JobStatus, Refusal>> {
    return this.toStatus(await this.intake.accept(caller, req));
  }

  /**
   * Cancels a job: nothing more of it is started, what runs is aborted, and
   * what was done stays readable.
   *
   * @param caller - Who asks.
   * @param id - The job.
   * @returns Its status after it.
   */
  async cancel(
    caller: string,
    id: string,
  ): Promise<Outcome<JobStatus, Refusal>> {
    return this.toStatus(await this.intake.cancel(caller, id));
  }

  /**
   * @param caller - Who asks.
   * @param id - The job.
   * @returns Its status; `not-found` for another caller's job.
   */
  status(caller: string, id: string): Promise<Outcome<JobStatus, Refusal>> {
    return this.reader.status(caller, id);
  }

  /**
   * @param caller - Who asks.
   * @returns Its jobs. The items of those that have not ended are not counted.
   */
  list(caller: string): Promise<Outcome<readonly JobStatus[], Refusal>> {
    return this.reader.jobs(caller);
  }

  /**
   * @param caller - Who asks.
   * @param id - The job.
   * @param options - `after`: only items behind this one.
   * @returns One line for each item, in the order of the items; those without
   *     an outcome so far are `waiting`.
   */
  results(
    caller: string,
    id: string,
    options: {readonly after?: string} = {},
  ): Promise<Outcome<AsyncIterable<ResultLine>, Refusal>> {
    return this.reader.results(caller, id, options.after);
  }

  /**
   * @param caller - Who asks.
   * @param id - The job.
   * @param signal - Ends the watch.
   * @returns Its status now, and after each change of its state, to the end.
   */
  watch(
    caller: string,
    id: string,
    signal: AbortSignal,
  ): AsyncIterable<Outcome<JobStatus, Refusal>> {
    return this.watcher.watch(caller, id, signal);
  }

  /**
   * Starts nothing more, lets running items end, and records all. Membership
   * may hand the shares over afterwards.
   *
   * @param timeoutMs - At most so long, in milliseconds.
   */
  async stop(timeoutMs: number): Promise<void> {
    await this.worker.stop(timeoutMs);
    this[Symbol.dispose]();
  }

  /** Stops at once, as a process that dies would. */
  [Symbol.dispose](): void {
    this.store[Symbol.dispose]();
  }

  private async toStatus(
    outcome: Outcome<JobRow, Refusal>,
  ): Promise<Outcome<JobStatus, Refusal>> {
    if (!outcome.ok) return outcome;
    const row = outcome.value;
    const counted = await this.reader.statusOf(row);
    if (counted.ok || isFinalJobState(row.state)) return counted;
    return success(this.reader.uncounted(row));
  }
}
