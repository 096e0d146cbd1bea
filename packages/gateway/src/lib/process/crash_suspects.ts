/**
 * Detects poison requests, which crash the targets that run them.
 *
 * The run of such a request ends with a broken connection before any response,
 * or right after its first event. Its caller then sends it again to any host,
 * and each run costs a target and all other requests on it. `CrashRecords` holds
 * the targets at which runs of a request broke off; after three targets the
 * request is blocked, unless parts of prompts account for them. A harmless
 * request that ran beside it is recorded as well, but its next run succeeds and
 * clears the record. Each target counts once: a server that crashed comes back as a
 * new incarnation, and thus as another target, so several broken runs at one
 * target are lost responses of a target that is alive.
 */
import {
  CRASH_EVIDENCE_LIFETIME_MS,
  fingerprint,
  type Clock,
  type EventLog,
} from '@oathead/core';
import type {RowStore, TableUpdate} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import type {CrashRecord, CrashRecords} from './crash_records.js';
import {partKeysOf, type PromptParts} from './prompt_parts.js';
import type {TargetDirectory} from './target_directory.js';

/**
 * Number of targets that block a request. Two targets may fail for other
 * reasons.
 */
const TARGETS_TO_BLOCK = 3;
/**
 * Time from the last crash to the first request that tries again, in
 * milliseconds, and the growth of that time with each trial that crashed a
 * target: long enough for the crashed targets to be back.
 */
const FIRST_TRIAL_MS = 60_000;
const TRIAL_GROWTH = 4;
/** Time from a trial that showed nothing to the next one, in milliseconds. */
const NEXT_TRIAL_MS = 10_000;
/** Maximum number of requests of which more than the crashes is known. */
const MAX_SUSPECTS = 4096;

/**
 * Time until all hosts have read that an entry has expired, in milliseconds:
 * twice the long-poll and retry delays of the readers of the list, plus one
 * second for a slow store.
 */
const LIST_READ_MARGIN_MS = 2700;

/** Dependencies of {@link CrashSuspects}. */
export interface CrashSuspectsContext {
  readonly store: Pick<RowStore, 'storeTimeMs'>;
  readonly records: CrashRecords;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Tells which targets are listed. */
  readonly directory: Pick<TargetDirectory, 'isListedFor'>;
  /**
   * @returns Time until the entry of a crashed target expires, in milliseconds.
   */
  readonly expiryMs: () => number;
  /**
   * @returns The part of prompts that is known to have crashed the target;
   *     undefined if none is.
   */
  readonly explanationOf: (targetId: string) => string | undefined;
}

/** Whether a request may run. */
export type SuspectAdmission =
  | 'free'
  /** It tries whether the request still crashes targets. */
  | 'trial'
  | 'blocked';

/** Why a request may run although targets have crashed under it. */
type ReleaseReason =
  /** Parts of prompts are known to have crashed the targets. */
  | 'explained'
  /** Its last crash is older than the lifetime of a suspect. */
  | 'expired'
  /** The targets are listed still, so they have not crashed. */
  | 'listed';

/** Tracks requests whose runs broke off before a response. */
export class CrashSuspects {
  /** What was last logged of why a request may run, by fingerprint. */
  private readonly loggedReleases = new LRUCache<string, string>({
    max: MAX_SUSPECTS,
  });

  /** @param context - The crashes under requests, and the target list. */
  constructor(private readonly context: CrashSuspectsContext) {}

  /** @returns The fingerprint of a request, derived from its path and body. */
  static fingerprintOf(path: string, body: Uint8Array): string {
    return fingerprint(`${path}\n${Buffer.from(body).toString('latin1')}`);
  }

  /**
   * Guards against a poison request that all hosts let through at once when its
   * crashes are old: only one request of the whole fleet tries it again.
   *
   * @param requestFingerprint - Fingerprint of a request.
   * @returns Whether it may be sent. Never rejects.
   */
  async admit(requestFingerprint: string): Promise<SuspectAdmission> {
    if (!this.isBlocked(requestFingerprint)) return 'free';
    const suspect = this.context.records.get(requestFingerprint)!;
    if (!this.isTrialDue(suspect)) return 'blocked';
    const isMine = await this.context.records.claimTrial(requestFingerprint);
    return isMine ? 'trial' : 'blocked';
  }

  /**
   * @returns Whether the request must not be sent. Unlike {@link admit}, it lets
   *     none through to try again.
   */
  isBlocked(requestFingerprint: string): boolean {
    const suspect = this.context.records.get(requestFingerprint);
    if (!suspect || suspect.targets.length < TARGETS_TO_BLOCK) return false;
    const reason = this.releaseReason(suspect);
    if (reason) this.logRelease(requestFingerprint, suspect, reason);
    return !reason;
  }

  private releaseReason(suspect: CrashRecord): ReleaseReason | undefined {
    const targets = this.unexplained(suspect);
    if (targets.length < TARGETS_TO_BLOCK) return 'explained';
    const sinceMs = this.now() - suspect.at;
    if (sinceMs >= CRASH_EVIDENCE_LIFETIME_MS) return 'expired';
    const {directory} = this.context;
    const knownAfterMs = this.expiryKnownAfterMs();
    if (sinceMs < knownAfterMs) return undefined;
    const crashed = targets.filter(
      id => !directory.isListedFor(id, knownAfterMs),
    );
    return crashed.length >= TARGETS_TO_BLOCK ? undefined : 'listed';
  }

  private isTrialDue({at, trials, triedAt}: CrashRecord): boolean {
    const afterCrashMs = FIRST_TRIAL_MS * TRIAL_GROWTH ** trials;
    const dueAt = triedAt > at ? triedAt + NEXT_TRIAL_MS : at + afterCrashMs;
    return this.now() >= dueAt;
  }

  /** Logs once for each reason and set of targets: a caller asks again and again. */
  private logRelease(
    requestFingerprint: string,
    {targets}: CrashRecord,
    reason: ReleaseReason,
  ): void {
    const release = `${reason} ${targets.length}`;
    if (this.loggedReleases.get(requestFingerprint) === release) return;
    this.loggedReleases.set(requestFingerprint, release);
    const explanations = targets.map(this.context.explanationOf);
    this.context.log.event('suspect-let-through', {
      fingerprint: requestFingerprint,
      targets,
      reason,
      parts: [...new Set(explanations)].filter(part => part !== undefined),
    });
  }

  /**
   * Guards against harmless requests that are held for a minute because they
   * ran beside others with a part of a prompt that crashes targets.
   */
  private unexplained({targets}: CrashRecord): readonly string[] {
    return targets.filter(id => this.context.explanationOf(id) === undefined);
  }

  /**
   * @param requestFingerprint - Fingerprint of a request whose run broke off as
   *     a crash breaks it off.
   * @param targetId - ID of the target of the run.
   * @param prompt - Parts of the prompt of the request.
   */
  recordBrokenRun(
    requestFingerprint: string,
    targetId: string,
    prompt: PromptParts,
  ): void {
    this.context.records.add(requestFingerprint, targetId, partKeysOf(prompt));
  }

  /**
   * Clears a request on all hosts. A run whose answer began before
   * the last crash clears nothing: the request may crash targets since then.
   *
   * @param requestFingerprint - Fingerprint of a request that was answered.
   * @param answeredSinceMs - When its target began to answer it; see
   *     {@link CrashSuspects.now}.
   */
  recordCompletedRun(
    requestFingerprint: string,
    answeredSinceMs: number,
  ): void {
    if (this.context.records.clear(requestFingerprint, answeredSinceMs))
      this.forget(requestFingerprint);
  }

  /** @param update - Changes of {@link SUSPECT_TABLE}. */
  update(update: TableUpdate): void {
    this.context.records.update(update);
    for (const {key} of update.removed) this.forget(key);
  }

  private forget(requestFingerprint: string): void {
    this.loggedReleases.delete(requestFingerprint);
  }

  /** @returns The time by which crashes are dated, in milliseconds. */
  now(): number {
    return this.context.store.storeTimeMs() ?? this.context.clock.now();
  }

  /**
   * Time until every host knows whether the entry of a crashed target has
   * expired, in milliseconds.
   */
  private expiryKnownAfterMs(): number {
    return this.context.expiryMs() + LIST_READ_MARGIN_MS;
  }
}
