/**
 * Accepts batch jobs. Submission is idempotent: a job is accepted once, however
 * often and on whichever host it is submitted. The caller learns whether the
 * job was accepted, was refused, or may have been accepted.
 */
import {
  sleep,
  type Clock,
  type EventLog,
  type Latencies,
  type Random,
} from '@oathead/core';
import {encodeJson, type RowStore, type RowTransaction} from '@oathead/stores';
import type {JobSubmission} from './job.js';
import {
  splitContent,
  type StoreLimits,
  type StoredObject,
} from './job_content.js';
import {headIn, headRef, type JobHead, type VersionedHead} from './job_rows.js';

/** Outcome of submitting a job. */
export type IntakeResult =
  /** The job is stored. */
  | {
      readonly kind: 'accepted';
      /** The head of the job, if this call wrote it. */
      readonly written?: VersionedHead;
      /**
       * The head of the job as the store told it, if another submission wrote
       * it, here or at another host, or it has changed since this call wrote it.
       */
      readonly found?: VersionedHead | undefined;
    }
  /** Nothing was written and nothing will be. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** The job may have been accepted. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** Dependencies of a {@link JobIntake}. */
export interface IntakeContext {
  readonly store: RowStore;
  readonly limits: StoreLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly latencies: Latencies;
  /** Returns the member ID of the host that owns jobs accepted now. */
  readonly owner: () => string;
  /** Time since the store's last response of any kind, in milliseconds. */
  readonly sinceAnswerMs: () => number;
}

/**
 * Time without any response after which the store counts as unreachable, in
 * milliseconds. Its tables are polled constantly, and each such call ends
 * within 1.2 s. A caller that is refused at once still has time to submit its
 * job to another host; one that waits for the write to time out does not.
 */
const STORE_UNREACHABLE_MS = 1600;
/**
 * Maximum number of attempts of a write without a response. With the backoff,
 * they take about a second.
 */
const MAX_ATTEMPTS = 4;
/**
 * Linear backoff between attempts, in milliseconds: multiplied by the number of
 * attempts made.
 */
const RETRY_BACKOFF_MS = 100;

/** Accepts submitted jobs. */
export class JobIntake {
  /** @param context - Store, limits and the owner of new jobs. */
  constructor(private readonly context: IntakeContext) {}

  /**
   * Writes a job to the store.
   *
   * @param submission - The submitted job.
   * @returns Whether the job was accepted.
   */
  async accept(submission: JobSubmission): Promise<IntakeResult> {
    const {clock, latencies} = this.context;
    const startedAt = clock.now();
    const result = await this.storeJob(submission);
    const ms = clock.now() - startedAt;
    latencies.record('job_intake', ms, {outcome: result.kind});
    this.context.log.event('job-handed-in', {
      job: submission.id,
      items: submission.items.length,
      content:
        result.kind === 'accepted'
          ? result.written?.head.content.kind
          : undefined,
      outcome: result.kind,
      reason: 'reason' in result ? result.reason : undefined,
      ms: Math.round(ms),
    });
    return result;
  }

  private async storeJob(submission: JobSubmission): Promise<IntakeResult> {
    const {store, limits, log} = this.context;
    const acceptedAtMs = store.storeTimeMs();
    const silentMs = this.context.sinceAnswerMs();
    if (acceptedAtMs === undefined || silentMs > STORE_UNREACHABLE_MS) {
      log.event('job-refused', {job: submission.id, silentMs});
      return {kind: 'refused', reason: 'the store is unreachable'};
    }
    const {content, puts, objects} = splitContent(
      submission.id,
      submission.items,
      limits,
    );
    const objectFailure = await this.putObjects(objects);
    if (objectFailure) return objectFailure;
    const head = this.newHead(submission, content, acceptedAtMs);
    const ref = headRef(submission.id);
    return this.write(head, {
      expect: [{...ref, version: 0}],
      puts: [{...ref, value: encodeJson(head)}, ...puts],
      removes: [],
    });
  }

  private newHead(
    submission: JobSubmission,
    content: JobHead['content'],
    acceptedAtMs: number,
  ): JobHead {
    return {
      id: submission.id,
      hostName: submission.hostName,
      account: submission.account,
      items: submission.items.length,
      acceptedAtMs,
      completionGoalMs: submission.completionGoalMs,
      retentionMs: submission.retentionMs,
      maxAttempts: submission.maxAttempts,
      owner: this.context.owner(),
      state: submission.items.length === 0 ? 'done' : 'open',
      listed: 0,
      failures: {},
      nonce: this.context.random.id(),
      content,
    };
  }

  /**
   * @returns The refusal if an object could not be stored; undefined if all are
   *   stored.
   */
  private async putObjects(
    objects: readonly StoredObject[],
  ): Promise<IntakeResult | undefined> {
    for (const {name, bytes} of objects) {
      const put = await this.context.store.putObject(name, bytes);
      // Objects without a head do not make a job: nothing was accepted.
      if (!put.ok)
        return {kind: 'refused', reason: `object not stored: ${put.err.kind}`};
    }
    return undefined;
  }

  /**
   * Writes the head and the content rows. Guards against lost responses: the
   * same write is sent again. It takes effect at most once, since it expects
   * that there is no head. A head that exists already belongs to the same job,
   * whichever attempt wrote it; if it carries the nonce of this write, an
   * earlier attempt of it did.
   */
  private async write(
    head: JobHead,
    transaction: RowTransaction,
  ): Promise<IntakeResult> {
    let mayBeApplied = false;
    let reason = '';
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      if (i > 0) await sleep(this.context.clock, RETRY_BACKOFF_MS * i);
      const done = await this.context.store.transact(transaction);
      if (done.ok) {
        const {version} = done.value;
        return {kind: 'accepted', written: {head, version}};
      }
      if (done.err.kind === 'conflict') {
        const found = headIn(done.err.rows, head.id);
        return found?.head.nonce === head.nonce
          ? {kind: 'accepted', written: found}
          : {kind: 'accepted', found};
      }
      if (done.err.kind === 'unknown') mayBeApplied = true;
      reason = done.err.kind;
    }
    return {kind: mayBeApplied ? 'unknown' : 'refused', reason};
  }
}
