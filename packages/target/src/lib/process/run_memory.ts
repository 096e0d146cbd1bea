/** What this process remembers of the requests that it has had. */
import {mayHaveRun, notRun} from '@oathead/core';
import type {Clock, Refusal, ServeOutcome, ServeRequest} from '@oathead/core';
import type {Attachment} from '@oathead/wire';
import {LRUCache} from 'lru-cache';
import {runKey} from '../request/target_run.js';
import type {TargetRun} from '../request/target_run.js';
import {HeldAnswers, isHeld} from './held_answers.js';
import type {HeldAnswersSettings} from './held_answers.js';

/** Bounds of the memory. */
export interface RunMemorySettings extends HeldAnswersSettings {
  /** How long an ended request can still be attached to, in milliseconds. */
  readonly attachMs: number;
  /** How long an answer is given to a resend, in milliseconds. */
  readonly answerMs: number;
  readonly answerBytes: number;
  /** How long a non-idempotent request is known as started, in milliseconds. */
  readonly startedMs: number;
  readonly startedCount: number;
}

const MAX_ENDED_BYTES = 32 << 20;
const MAX_VOIDED = 20_000;
/** A request is marked by its id and by its key. */
const MARKS_PER_RUN = 2;
/** A purge walks over all marks. */
const PURGE_MS = 1_000;
/** An ended run beside its answer, and each token of it. */
const RUN_BYTES = 512;
const TOKEN_BYTES = 32;

/**
 * @param req - A request.
 * @returns The name under which its outcome is known: all attempts at it, and
 *     all its resends, have the same.
 */
export function outcomeName(req: ServeRequest): string {
  const {dedupeKey} = req;
  return dedupeKey === undefined ? `id ${req.id}` : keyName(dedupeKey);
}

function keyName(dedupeKey: string): string {
  return `key ${dedupeKey}`;
}

/** Live runs, ended ones, and marks of what must not start again. */
export class RunMemory {
  private readonly live = new Map<string, TargetRun>();
  private readonly liveByName = new Map<string, TargetRun>();
  /** Answers that are not written elsewhere yet. */
  readonly held: HeldAnswers;
  private readonly ended: LRUCache<string, TargetRun>;
  private readonly answered: LRUCache<string, TargetRun>;
  private readonly startedOnce: LRUCache<string, true>;
  private readonly voided: LRUCache<string, true>;
  /** When an ended run was last forgotten before its time. */
  private forgotYoungAt = -Infinity;
  private nextPurgeAt = -Infinity;

  /**
   * @param settings - Bounds.
   * @param clock - Ages are measured on it.
   */
  constructor(
    private readonly settings: RunMemorySettings,
    private readonly clock: Clock,
  ) {
    const perf = {now: () => clock.now()};
    const common = {perf, ttlResolution: 0};
    this.ended = new LRUCache({
      ...common,
      ttl: settings.attachMs,
      maxSize: MAX_ENDED_BYTES,
      sizeCalculation: bytesOf,
      dispose: (run, key, reason) => {
        if (reason === 'evict') this.forgotYoungAt = clock.now();
      },
    });
    this.answered = new LRUCache({
      ...common,
      ttl: settings.answerMs,
      maxSize: settings.answerBytes,
      sizeCalculation: bytesOf,
    });
    this.held = new HeldAnswers(settings, clock, (name, run) =>
      this.answered.set(name, run),
    );
    this.startedOnce = new LRUCache({
      ...common,
      ttl: settings.startedMs,
      max: settings.startedCount,
    });
    this.voided = new LRUCache({
      ...common,
      ttl: settings.attachMs,
      max: MAX_VOIDED,
    });
  }

  /** How many runs have no outcome yet. */
  get runningCount(): number {
    return this.live.size;
  }

  /**
   * @param id - A request.
   * @param attempt - Which attempt.
   * @returns That very attempt, running or ended not long ago.
   */
  byAttempt(id: string, attempt: number): TargetRun | undefined {
    const key = runKey(id, attempt);
    return this.live.get(key) ?? this.ended.get(key);
  }

  /**
   * @param req - A request.
   * @returns A run whose outcome is the request's too.
   */
  sameOutcome(req: ServeRequest): TargetRun | undefined {
    return this.byName(outcomeName(req));
  }

  /**
   * @param dedupeKey - A key.
   * @returns The run of it, ended or not, that is remembered.
   */
  byKey(dedupeKey: string): TargetRun | undefined {
    return this.byName(keyName(dedupeKey));
  }

  private byName(name: string): TargetRun | undefined {
    return (
      this.liveByName.get(name) ??
      this.held.get(name) ??
      this.answered.get(name)
    );
  }

  /**
   * @param req - A request that no run here answers.
   * @returns Why it must not be started; undefined when it may.
   */
  barred(req: ServeRequest): Refusal | undefined {
    if (this.voided.has(runKey(req.id, req.attempt))) {
      return notRun('target-lost', 'the request came after it was given up');
    }
    if (this.wasStarted(req)) {
      return mayHaveRun(
        'outcome-unknown',
        'the request was started here before and may run only once',
      );
    }
    return this.full(req);
  }

  /** @param run - A run to be known from now on. */
  add(run: TargetRun): void {
    this.live.set(run.key, run);
    this.liveByName.set(outcomeName(run.req), run);
  }

  /**
   * Guards against a non-idempotent request that runs twice: its caller
   * resends it, by its key or through another entry, while the outcome of the
   * first run is unknown. The mark is set before the engine can see the
   * request and outlives the run, whatever its outcome.
   *
   * @param run - A run about to be started.
   */
  markStarted(run: TargetRun): void {
    if (run.req.idempotent) return;
    for (const name of marksOf(run.req)) this.startedOnce.set(name, true);
  }

  /** @param run - A run that has just got its outcome. */
  settle(run: TargetRun): void {
    this.live.delete(run.key);
    const name = outcomeName(run.req);
    if (this.liveByName.get(name) === run) this.liveByName.delete(name);
    this.ended.set(run.key, run);
    // What is too large for the cache is not kept, and no eviction is told.
    if (!this.ended.has(run.key)) this.forgotYoungAt = this.clock.now();
    if (run.outcome?.kind !== 'done' || !isHeld(run.req)) return;
    this.held.hold(name, run, bytesOf(run));
  }

  /**
   * @param dedupeKeys - Keys whose outcomes are written elsewhere.
   */
  release(dedupeKeys: readonly string[]): void {
    for (const key of dedupeKeys) this.held.release(keyName(key));
  }

  /**
   * Makes sure that an attempt which has not arrived is never started here.
   *
   * @param attachment - An attempt that nothing is known of.
   * @param bootId - Of this process.
   * @returns What can be said of it.
   */
  unknown(attachment: Attachment, bootId: string): Refusal {
    if (attachment.bootId !== bootId) {
      return mayHaveRun('target-lost', 'the target process has restarted');
    }
    if (attachment.startedSeen || this.mayHaveForgotten(attachment)) {
      return mayHaveRun('outcome-unknown', 'it is not remembered any more');
    }
    const {id, attempt} = attachment;
    if (this.voided.size >= MAX_VOIDED) this.voided.purgeStale();
    if (this.voided.size >= MAX_VOIDED) {
      return mayHaveRun('outcome-unknown', 'too many requests were given up');
    }
    this.voided.set(runKey(id, attempt), true);
    return notRun('target-lost', 'the request has not arrived');
  }

  /**
   * An attempt that ran and was forgotten looks like one that never came. It is
   * only called "not run" while nothing that old can be forgotten.
   */
  private mayHaveForgotten({sentAgoMs}: Attachment): boolean {
    const sentAt = this.clock.now() - sentAgoMs;
    const isOld = sentAgoMs >= this.settings.attachMs;
    return isOld || this.forgotYoungAt >= sentAt;
  }

  private wasStarted(req: ServeRequest): boolean {
    return marksOf(req).some(name => this.startedOnce.has(name));
  }

  /**
   * Guards against forgetting what must be remembered: rather than drop an
   * answer that is not written yet, or the mark of a request that may run only
   * once, new requests of the kind are refused.
   */
  private full(req: ServeRequest): Refusal | undefined {
    if (!req.idempotent && this.marksAreFull()) {
      return notRun('overloaded', 'too many requests that may run only once');
    }
    if (isHeld(req) && this.held.full) {
      return notRun('overloaded', 'too many answers that are not written yet');
    }
    return undefined;
  }

  private marksAreFull(): boolean {
    const {startedOnce, settings} = this;
    const hasRoom = () =>
      startedOnce.size + MARKS_PER_RUN * this.live.size < settings.startedCount;
    if (hasRoom()) return false;
    const now = this.clock.now();
    if (now < this.nextPurgeAt) return true;
    this.nextPurgeAt = now + PURGE_MS;
    startedOnce.purgeStale();
    return !hasRoom();
  }
}

function marksOf(req: ServeRequest): readonly string[] {
  const byId = `id ${req.id}`;
  return req.dedupeKey === undefined ? [byId] : [byId, `key ${req.dedupeKey}`];
}

function bytesOf(run: TargetRun): number {
  return RUN_BYTES + TOKEN_BYTES * run.tokenCount + outcomeBytes(run.outcome);
}

function outcomeBytes(outcome: ServeOutcome | undefined): number {
  if (outcome?.kind !== 'done') return 0;
  const {answer} = outcome;
  const text = answer.kind === 'completion' ? answer.text : answer.body;
  return 2 * text.length;
}
