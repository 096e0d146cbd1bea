/**
 * Detects poison requests, which crash the targets that run them.
 *
 * The run of such a request ends with a broken connection before any response.
 * Its caller then sends it again to any host, and each run costs a target and
 * all other requests on it. The targets at which runs of a request broke off
 * are recorded by fingerprint of the request in the store, so that all hosts
 * know them; after three targets the request is blocked. A harmless request
 * that ran beside it is recorded as well, but its next run succeeds and clears
 * the record. Each target counts once: a server that crashed comes back as a
 * new incarnation, and thus as another target, so several broken runs at one
 * target are lost responses of a target that is alive.
 */
import {fingerprint, type Clock, type EventLog} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  type RowRef,
  type RowStore,
  type TableUpdate,
} from '@oathead/stores';
import {z} from 'zod';
import {isPartKey, SUSPECT_TABLE} from './suspect_table.js';
import type {TargetDirectory} from './target_directory.js';

const SUSPECT = z.object({
  /** IDs of targets at which a run broke off; see `Target.id`. */
  targets: z.array(z.string()),
  /** Time of the last such run, in store time in milliseconds. */
  at: z.number(),
});
interface Suspect {
  readonly targets: readonly string[];
  readonly at: number;
}

/**
 * Number of targets that block a request. Two targets may fail for other
 * reasons.
 */
const TARGETS_TO_BLOCK = 3;
/**
 * Lifetime of a suspect, in milliseconds: long enough for the crashed targets
 * to be back before a new run shows whether the request still crashes them.
 */
const SUSPECT_LIFETIME_MS = 60_000;
/** Maximum number of suspects in memory. */
const MAX_SUSPECTS = 4096;

/**
 * Time until all hosts have read that an entry has expired, in milliseconds:
 * twice the long-poll and retry delays of the readers of the list, plus one
 * second for a slow store.
 */
const LIST_READ_MARGIN_MS = 2700;

/** Dependencies of {@link CrashSuspects}. */
export interface CrashSuspectsContext {
  readonly store: RowStore;
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
  private readonly suspects = new Map<string, Suspect>();
  /**
   * Time at which a blocked item was last given another run, by fingerprint.
   */
  private readonly lastExtraRunAt = new Map<string, number>();
  /** What was last logged of why a request may run, by fingerprint. */
  private readonly loggedReleases = new Map<string, string>();

  /**
   * @param context - The store through which hosts share suspects, and the
   *     target list.
   */
  constructor(private readonly context: CrashSuspectsContext) {}

  /** @returns The fingerprint of a request, derived from its path and body. */
  static fingerprintOf(path: string, body: Uint8Array): string {
    return fingerprint(`${path}\n${Buffer.from(body).toString('latin1')}`);
  }

  /** @returns Whether the request must not be sent. */
  isBlocked(requestFingerprint: string): boolean {
    const suspect = this.suspects.get(requestFingerprint);
    if (!suspect || suspect.targets.length < TARGETS_TO_BLOCK) return false;
    const reason = this.releaseReason(suspect);
    if (reason) this.logRelease(requestFingerprint, suspect, reason);
    return !reason;
  }

  private releaseReason(suspect: Suspect): ReleaseReason | undefined {
    const targets = this.unexplained(suspect);
    if (targets.length < TARGETS_TO_BLOCK) return 'explained';
    const sinceMs = this.now() - suspect.at;
    if (sinceMs >= SUSPECT_LIFETIME_MS) return 'expired';
    const {directory} = this.context;
    const knownAfterMs = this.expiryKnownAfterMs();
    if (sinceMs < knownAfterMs) return undefined;
    const crashed = targets.filter(
      id => !directory.isListedFor(id, knownAfterMs),
    );
    return crashed.length >= TARGETS_TO_BLOCK ? undefined : 'listed';
  }

  /** Logs once for each reason and set of targets: items are asked about often. */
  private logRelease(
    requestFingerprint: string,
    {targets}: Suspect,
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
  private unexplained({targets}: Suspect): readonly string[] {
    return targets.filter(id => this.context.explanationOf(id) === undefined);
  }

  /**
   * Whether a batch item is blocked. A blocked item gets one more run.
   *
   * If three targets crashed for other reasons while a harmless item ran on
   * them, a host cannot tell it from a poison request, and the item would be
   * delayed by a minute. One more run decides, at the cost of one target at
   * most: only the owner of the item starts it, and if a fourth target is lost,
   * the item stays blocked.
   *
   * @param requestFingerprint - Fingerprint of an item.
   * @returns Whether the item must not be started, because it is blocked and
   *     its additional run has been used or is not due yet.
   */
  isItemBlocked(requestFingerprint: string): boolean {
    if (!this.isBlocked(requestFingerprint)) return false;
    const suspect = this.suspects.get(requestFingerprint)!;
    const {at} = suspect;
    const targets = this.unexplained(suspect);
    const lastRunAt = Math.max(
      at,
      this.lastExtraRunAt.get(requestFingerprint) ?? 0,
    );
    const isDue = this.now() - lastRunAt >= this.expiryKnownAfterMs();
    return targets.length > TARGETS_TO_BLOCK || !isDue;
  }

  /** @param requestFingerprint - Fingerprint of an item that is started. */
  recordItemStart(requestFingerprint: string): void {
    if (!this.isBlocked(requestFingerprint)) return;
    this.lastExtraRunAt.set(requestFingerprint, this.now());
    this.context.log.event('suspect-tried-again', {
      fingerprint: requestFingerprint,
    });
  }

  /**
   * Grants a blocked item its additional run again. Guards against an item that
   * waits for seconds each time a request takes its slot.
   *
   * @param requestFingerprint - Fingerprint of an item whose run was ended
   *     before it showed whether it crashes its target.
   */
  recordUndecidedRun(requestFingerprint: string): void {
    this.lastExtraRunAt.delete(requestFingerprint);
  }

  /**
   * @param requestFingerprint - Fingerprint of a request whose run broke off
   *     before any response.
   * @param targetId - ID of the target of the run.
   */
  recordBrokenRun(requestFingerprint: string, targetId: string): void {
    const known = this.suspects.get(requestFingerprint)?.targets ?? [];
    if (known.includes(targetId)) return;
    const suspect = {targets: [...known, targetId], at: this.now()};
    this.setSuspect(requestFingerprint, suspect);
    const {targets} = suspect;
    this.context.log.event('request-suspect', {
      fingerprint: requestFingerprint,
      targets,
    });
    const ref = suspectRef(requestFingerprint);
    // If the write fails, the other hosts learn of the suspect through broken
    // runs of their own.
    void this.context.store.transact({
      expect: [],
      puts: [{...ref, value: encodeJson(suspect)}],
      removes: [],
    });
  }

  /**
   * Clears a request on all hosts. Guards against a harmless item that stays
   * blocked on the host that takes its job over.
   *
   * @param requestFingerprint - Fingerprint of a request that was answered.
   */
  recordAnswer(requestFingerprint: string): void {
    const suspect = this.suspects.get(requestFingerprint);
    if (!suspect) return;
    this.forget(requestFingerprint);
    const {targets} = suspect;
    this.context.log.event('suspect-cleared', {
      fingerprint: requestFingerprint,
      targets,
    });
    // If the write fails, the other hosts forget the suspect after its lifetime.
    void this.context.store.transact({
      expect: [],
      puts: [],
      removes: [suspectRef(requestFingerprint)],
    });
  }

  /** @param update - Changes of {@link SUSPECT_TABLE}. */
  update({put, removed}: TableUpdate): void {
    for (const {key} of removed) this.forget(key);
    const removedAt = new Map(removed.map(({key, version}) => [key, version]));
    for (const {key, value, version} of put) {
      if (isPartKey(key)) continue;
      // An update may report a row and its removal after that.
      if (version <= (removedAt.get(key) ?? 0)) continue;
      const suspect = decodeJson(value, SUSPECT);
      if (!suspect.ok) {
        const {message} = suspect.err;
        this.context.log.event('suspect-unreadable', {key, message});
        continue;
      }
      this.merge(key, suspect.value);
    }
  }

  /**
   * Forms the union of the targets, because two hosts may write a suspect
   * concurrently, each with only the targets that it knows.
   */
  private merge(requestFingerprint: string, reported: Suspect): void {
    const known = this.suspects.get(requestFingerprint);
    const targets = new Set([...(known?.targets ?? []), ...reported.targets]);
    if (targets.size === known?.targets.length) return;
    const at = Math.max(known?.at ?? 0, reported.at);
    this.setSuspect(requestFingerprint, {targets: [...targets], at});
  }

  private forget(requestFingerprint: string): void {
    this.suspects.delete(requestFingerprint);
    this.lastExtraRunAt.delete(requestFingerprint);
    this.loggedReleases.delete(requestFingerprint);
  }

  private setSuspect(requestFingerprint: string, suspect: Suspect): void {
    this.suspects.delete(requestFingerprint);
    this.suspects.set(requestFingerprint, suspect);
    if (this.suspects.size <= MAX_SUSPECTS) return;
    const [oldest] = this.suspects.keys();
    this.forget(oldest!);
  }

  /**
   * Time until every host knows whether the entry of a crashed target has
   * expired, in milliseconds.
   */
  private expiryKnownAfterMs(): number {
    return this.context.expiryMs() + LIST_READ_MARGIN_MS;
  }

  private now(): number {
    return this.context.store.storeTimeMs() ?? this.context.clock.now();
  }
}

function suspectRef(requestFingerprint: string): RowRef {
  return {table: SUSPECT_TABLE, partition: '', key: requestFingerprint};
}
