/**
 * Accepts batch jobs: once, however often and wherever they are handed in.
 * Whoever hands one in learns whether it was accepted, was not, or may be.
 */
import {sleep, type Clock, type EventLog, type Random} from '@oathead/core';
import {encodeJson, type RowStore, type RowTransaction} from '@oathead/stores';
import type {JobSubmission} from './job.js';
import {
  cutContent,
  type StoreLimits,
  type StoredObject,
} from './job_content.js';
import {headRef, type JobHead, type VersionedHead} from './job_rows.js';

/** What came of handing in a job. */
export type IntakeResult =
  /** It is kept from now on; `head` where this call has written it. */
  | {readonly kind: 'accepted'; readonly written?: VersionedHead}
  /** Nothing was written and nothing will be. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** It may have been accepted. */
  | {readonly kind: 'unknown'; readonly reason: string};

/** What a {@link JobIntake} needs. */
export interface IntakeContext {
  readonly store: RowStore;
  readonly limits: StoreLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  /** The run of the process that works on what is accepted now. */
  readonly owner: () => string;
  /** Milliseconds since the store last answered anything. */
  readonly sinceAnswerMs: () => number;
}

/**
 * A store that has answered nothing for so long is away, in milliseconds: its
 * tables are asked for all the time, and each such call ends within 1.2 s. A
 * caller that is refused at once can still hand its job in elsewhere in time,
 * where one that waits for the write to time out can not.
 */
const STORE_AWAY_MS = 1600;
/** How often a write without an answer is sent: a second of patience. */
const MAX_TRIES = 4;
/** Between two tries, in milliseconds. */
const RETRY_MS = 100;

/** Takes jobs in. */
export class JobIntake {
  /** @param context - The store, and who works on what is accepted. */
  constructor(private readonly context: IntakeContext) {}

  /**
   * @param submission - What is handed in.
   * @returns What came of it.
   */
  async accept(submission: JobSubmission): Promise<IntakeResult> {
    const {store, limits, log} = this.context;
    const acceptedAtMs = store.storeTimeMs();
    const silentMs = this.context.sinceAnswerMs();
    if (acceptedAtMs === undefined || silentMs > STORE_AWAY_MS) {
      log.event('job-refused', {job: submission.id, silentMs});
      return {kind: 'refused', reason: 'the store does not answer'};
    }
    const {content, puts, objects} = cutContent(
      submission.id,
      submission.items,
      limits,
    );
    const stored = await this.putObjects(objects);
    if (stored) return stored;
    const head = this.newHead(submission, content, acceptedAtMs);
    const ref = headRef(submission.id);
    const result = await this.write(head, {
      expect: [{...ref, version: 0}],
      puts: [{...ref, value: encodeJson(head)}, ...puts],
      removes: [],
    });
    log.event('job-handed-in', {
      job: submission.id,
      items: submission.items.length,
      content: content.kind,
      outcome: result.kind,
      reason: 'reason' in result ? result.reason : undefined,
    });
    return result;
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

  /** @returns Undefined when all objects are in the store. */
  private async putObjects(
    objects: readonly StoredObject[],
  ): Promise<IntakeResult | undefined> {
    for (const {name, bytes} of objects) {
      const put = await this.context.store.putObject(name, bytes);
      // Without its head an object is no job: nothing was accepted.
      if (!put.ok) return {kind: 'refused', reason: `object: ${put.err.kind}`};
    }
    return undefined;
  }

  /**
   * Guards against lost answers: the write is sent again as it was. It can take
   * effect once only, since it expects that there is no head; a head that is
   * there is this job's, whoever has written it.
   */
  private async write(
    head: JobHead,
    transaction: RowTransaction,
  ): Promise<IntakeResult> {
    let mayBeDone = false;
    let reason = '';
    for (let i = 0; i < MAX_TRIES; i++) {
      if (i > 0) await sleep(this.context.clock, RETRY_MS * i);
      const done = await this.context.store.transact(transaction);
      if (done.ok) {
        const {version} = done.value;
        return {kind: 'accepted', written: {head, version}};
      }
      if (done.err.kind === 'conflict') return {kind: 'accepted'};
      if (done.err.kind === 'unknown') mayBeDone = true;
      reason = done.err.kind;
    }
    return {kind: mayBeDone ? 'unknown' : 'refused', reason};
  }
}
