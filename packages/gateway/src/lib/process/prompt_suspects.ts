/**
 * Detects parts of prompts that crash the targets of a service, and refuses
 * requests that have them. See `docs/design/prompt-suspects.md`; `PartSuspicion`
 * decides, this module shares its evidence and its verdicts through the store.
 */
import {
  CRASH_EVIDENCE_LIFETIME_MS,
  PartSuspicion,
  trialsAllowed,
  type Clock,
  type Counters,
  type EventLog,
  type PartCrash,
} from '@oathead/core';
import {
  decodeJson,
  encodeJson,
  type RowStore,
  type TableUpdate,
  type VersionedRow,
} from '@oathead/stores';
import {LRUCache} from 'lru-cache';
import type {CrashRecords} from './crash_records.js';
import {
  isExpired,
  PartVerdicts,
  type KnownVerdict,
  type VerdictEnd,
} from './part_verdicts.js';
import {partKeysOf, type PromptParts} from './prompt_parts.js';
import {
  CRASH,
  crashRef,
  parseRowKey,
  VERDICT,
  verdictRef,
  type Verdict,
} from './prompt_suspect_rows.js';
import {isPartKey} from './suspect_table.js';
import {SuspectRowWriter} from './suspect_row_writer.js';
import type {TargetDirectory} from './target_directory.js';
import {trialPauseMs, VerdictTrials} from './verdict_trials.js';

/** Whether a request may run. */
export type PromptAdmission =
  | 'free'
  /** It tries whether a part of its prompt still crashes targets. */
  | 'trial'
  | 'blocked';

/** Dependencies of {@link PromptSuspects}. */
export interface PromptSuspectsContext {
  readonly store: Pick<RowStore, 'transact' | 'storeTimeMs'>;
  /** The crashes under requests. */
  readonly records: Pick<CrashRecords, 'withPart'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly directory: Pick<TargetDirectory, 'isListedFor'>;
  /**
   * Returns the time after which the entry of a crashed target expires, in
   * milliseconds.
   */
  readonly expiryMs: () => number;
}

/**
 * Number of times that a host looks whether a target that seems to have crashed is
 * listed still: the list may be away at first.
 */
const MAX_LISTED_CHECKS = 3;
/** Interval between two looks at suspected parts, in milliseconds. */
const WATCH_INTERVAL_MS = 200;
/** Maximum number of parts whose last log line is remembered. */
const MAX_LOGGED = 1024;

/** Parts that crash targets, as one host knows them. */
export class PromptSuspects {
  private readonly suspicion = new PartSuspicion();
  private readonly verdicts: PartVerdicts;
  private readonly trials: VerdictTrials;
  /** Number of crashes at which a part was last logged as spared. */
  private readonly loggedSpared = new LRUCache<string, number>({
    max: MAX_LOGGED,
  });
  private readonly rows: SuspectRowWriter;
  private isWatching = false;

  /** @param context - The store, and the list of targets. */
  constructor(private readonly context: PromptSuspectsContext) {
    this.rows = new SuspectRowWriter(context);
    const now = () => this.now();
    this.verdicts = new PartVerdicts({...context, now});
    this.trials = new VerdictTrials({...context, now, verdicts: this.verdicts});
  }

  /**
   * @param prompt - Parts of a request.
   * @returns Whether the request may run. Never rejects.
   */
  async admit(prompt: PromptParts): Promise<PromptAdmission> {
    const {service} = prompt;
    const verdicts = partKeysOf(prompt).flatMap(key => {
      const verdict = this.verdictOn(service, key);
      return verdict ? [{key, verdict}] : [];
    });
    if (verdicts.length === 0) return 'free';
    const mayTry = await this.trials.mayTryAll(verdicts);
    const admission = mayTry ? 'trial' : 'blocked';
    this.context.counters.count('prompt_parts', {outcome: admission});
    return admission;
  }

  /**
   * @param prompt - Parts of a request.
   * @returns Whether one of them is known to crash targets. Unlike
   *     {@link admit}, it lets no request through to try again.
   */
  isBlocked(prompt: PromptParts): boolean {
    return this.blockedParts(prompt).length > 0;
  }

  /**
   * @param prompt - Parts of a request.
   * @returns The keys of those that are known to crash targets.
   */
  blockedParts(prompt: PromptParts): readonly string[] {
    const {service} = prompt;
    return partKeysOf(prompt).filter(key => this.verdictOn(service, key));
  }

  /**
   * @param target - ID of a target.
   * @returns The key of the guilty part that crashed it; undefined if none is
   *     known.
   */
  explanationOf(target: string): string | undefined {
    return this.verdicts.explanationOf(target);
  }

  /**
   * @param prompt - Parts of a request whose run broke off as a crash breaks it
   *     off.
   * @param target - ID of the target.
   */
  recordBrokenRun(prompt: PromptParts, target: string): void {
    const {service} = prompt;
    const at = this.now();
    const keys = partKeysOf(prompt);
    const crash = {target, atMs: at};
    const added = this.suspicion.recordBrokenRun(service, keys, crash);
    for (const key of keys) this.verdicts.addCrash(key, target);
    const value = encodeJson({service, targets: [target], at});
    for (const key of added) this.rows.put({...crashRef(key, target), value});
    if (added.length > 0) this.checkListed(added, crash, MAX_LISTED_CHECKS);
    this.watchSuspects();
  }

  /**
   * Forgets a crash if its target lives. Guards against a sound part that is held
   * much later, when the target has left as planned: it had lost a connection only.
   */
  private checkListed(
    keys: readonly string[],
    crash: PartCrash,
    checks: number,
  ): void {
    const {target, atMs} = crash;
    this.context.clock.after(this.verdicts.knownAfterMs, () => {
      if (!this.verdicts.isStillListed(target, atMs)) {
        if (checks > 1) this.checkListed(keys, crash, checks - 1);
        return;
      }
      for (const key of keys) this.suspicion.forgetCrash(key, target);
      this.rows.remove(keys.map(key => crashRef(key, target)));
    });
  }

  /** @param prompt - Parts of a request whose run came to its end. */
  recordCompletedRun(prompt: PromptParts): void {
    const {service} = prompt;
    const keys = partKeysOf(prompt);
    const cleared = this.suspicion.recordCompletedRun(
      service,
      keys,
      this.now(),
    );
    const refs = [...cleared].flatMap(([key, crashes]) =>
      crashes.map(({target}) => crashRef(key, target)),
    );
    const acquitted = keys.filter(key => this.verdicts.get(key));
    for (const key of acquitted) this.verdicts.end(key, 'got-through');
    const removes = [...refs, ...acquitted.map(verdictRef)];
    if (removes.length > 0) this.rows.remove(removes);
  }

  /** @param update - Changes of {@link SUSPECT_TABLE}. */
  update({put, removed}: TableUpdate): void {
    const removedAt = new Map(removed.map(({key, version}) => [key, version]));
    for (const {key} of removed) if (isPartKey(key)) this.remove(key);
    for (const row of put) {
      // An update may report a row and its removal after that.
      const isGone = row.version <= (removedAt.get(row.key) ?? 0);
      if (isPartKey(row.key) && !isGone) this.apply(row);
    }
    this.watchSuspects();
  }

  /**
   * Looks at suspected parts until none is left. Guards against a part that is
   * not found because the hosts whose other requests get through have none with
   * it.
   */
  private watchSuspects(): void {
    const {clock} = this.context;
    const suspects = this.suspicion.suspects(this.now());
    if (this.isWatching || suspects.length === 0) return;
    this.isWatching = true;
    clock.after(WATCH_INTERVAL_MS, () => {
      this.isWatching = false;
      for (const [key, service] of this.suspicion.suspects(this.now()))
        this.verdictOn(service, key);
      this.watchSuspects();
    });
  }

  private remove(rowKey: string): void {
    this.rows.noteRemoved(rowKey);
    const {part, target} = parseRowKey(rowKey);
    if (target !== undefined) this.suspicion.forgetCrash(part, target);
    else this.verdicts.end(part, 'removed');
  }

  private apply(row: VersionedRow): void {
    const {part, target} = parseRowKey(row.key);
    const outcome =
      target === undefined
        ? this.applyVerdict(part, row)
        : this.applyCrash(part, row);
    if (outcome === undefined) return;
    this.context.log.event('suspect-unreadable', {
      key: row.key,
      message: outcome,
    });
  }

  /** @returns Why the row is unreadable; undefined if it is not. */
  private applyCrash(part: string, {value}: VersionedRow): string | undefined {
    const crash = decodeJson(value, CRASH);
    if (!crash.ok) return crash.err.message;
    const {service, at} = crash.value;
    const [target] = crash.value.targets;
    this.verdicts.addCrash(part, target);
    if (this.now() - at <= CRASH_EVIDENCE_LIFETIME_MS)
      this.suspicion.recordCrash(service, part, {target, atMs: at});
    else this.rows.remove([crashRef(part, target)]);
    return undefined;
  }

  /** @returns Why the row is unreadable; undefined if it is not. */
  private applyVerdict(
    part: string,
    {value, version}: VersionedRow,
  ): string | undefined {
    const verdict = decodeJson(value, VERDICT);
    if (!verdict.ok) return verdict.err.message;
    if (isExpired(verdict.value, this.now()))
      this.rows.remove([verdictRef(part)]);
    else this.setVerdict(part, verdict.value, version);
    return undefined;
  }

  private verdictOn(service: string, key: string): KnownVerdict | undefined {
    const known = this.verdicts.get(key);
    const end = known && this.endOf(known);
    if (known && end) this.strikeOff(key, known, end);
    else if (known && this.verdicts.isInForce(key, known)) return known;
    const now = this.now();
    const shown = this.suspicion.guiltyOf(key, now);
    const crashes = shown ?? this.suspicion.suspectedWhileDown(key, now);
    if (!crashes) return undefined;
    const alive = crashes.filter(({target, atMs}) =>
      this.verdicts.isStillListed(target, atMs),
    );
    const isProvisional = shown === undefined;
    if (alive.length === 0)
      return this.pass(service, key, crashes, isProvisional);
    for (const {target} of alive) this.suspicion.forgetCrash(key, target);
    return this.verdictOn(service, key);
  }

  private endOf(verdict: KnownVerdict): VerdictEnd | undefined {
    const {service, at, isProvisional, trials} = verdict;
    if (
      isProvisional &&
      trials === 0 &&
      this.suspicion.crashesGoOn(service, at)
    )
      return 'crashes-go-on';
    return this.verdicts.endOf(verdict);
  }

  /** Drops a verdict that is over. */
  private strikeOff(
    key: string,
    {targets}: KnownVerdict,
    reason: VerdictEnd,
  ): void {
    this.verdicts.end(key, reason);
    for (const target of targets) this.suspicion.forgetCrash(key, target);
    this.rows.remove([verdictRef(key)]);
  }

  /** Passes a verdict, in place of one that is not in force. */
  private pass(
    service: string,
    key: string,
    crashes: readonly PartCrash[],
    isProvisional: boolean,
  ): KnownVerdict | undefined {
    const targets = crashes.map(({target}) => target);
    if (this.verdicts.areUnderOneRequest(key, targets)) {
      this.logSpared(service, key, targets);
      return undefined;
    }
    const before = this.verdicts.get(key)?.version ?? 0;
    const at = this.now();
    const maxTrials = isProvisional ? undefined : trialsAllowed(crashes);
    const verdict = {service, targets, at, trials: 0, isProvisional, maxTrials};
    const known = this.setVerdict(key, verdict, undefined);
    this.context.log.event('prompt-part-blocked', {
      service,
      part: key,
      targets,
      isProvisional,
      maxTrials,
    });
    void this.publish(key, verdict, before);
    return known;
  }

  private setVerdict(
    key: string,
    verdict: Verdict,
    version: number | undefined,
  ): KnownVerdict {
    const crashes = this.suspicion.targetsOf(key);
    return this.verdicts.set(key, verdict, version, crashes);
  }

  /** @param before - Version of the row that it replaces; 0 if there is none. */
  private async publish(
    key: string,
    verdict: Verdict,
    before: number,
  ): Promise<void> {
    const ref = verdictRef(key);
    const written = await this.context.store.transact({
      expect: [{...ref, version: before}],
      puts: [{...ref, value: encodeJson(verdict)}],
      removes: [],
    });
    if (written.ok || written.err.kind === 'conflict') return;
    const reason = written.err.kind;
    this.context.log.event('suspects-unwritten', {rows: 1, reason});
    // Nobody can try again whether a part crashes targets whose verdict is
    // nowhere, so it ends by itself.
    this.context.clock.after(trialPauseMs(verdict), () => {
      if (this.verdicts.get(key)?.version === undefined)
        this.verdicts.end(key, 'unwritten');
    });
  }

  /** Logs once for each number of crashes: parts are looked at often. */
  private logSpared(
    service: string,
    part: string,
    targets: readonly string[],
  ): void {
    if (this.loggedSpared.get(part) === targets.length) return;
    this.loggedSpared.set(part, targets.length);
    this.context.log.event('prompt-part-spared', {service, part, targets});
  }

  private now(): number {
    return this.context.store.storeTimeMs() ?? this.context.clock.now();
  }
}
