/**
 * Detects parts of prompts that crash the targets of a service, and refuses
 * requests that have them. See `docs/design/prompt-suspects.md`; `PartSuspicion`
 * decides, this module shares its evidence and its verdicts through the store.
 */
import {
  PART_CRASH_LIFETIME_MS,
  PartSuspicion,
  isUnderOneRequest,
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

interface KnownVerdict extends Verdict {
  /** Version of its row; undefined until the row is read. */
  readonly version: number | undefined;
  /** IDs of all targets that are known to have crashed under its part. */
  readonly crashed: ReadonlySet<string>;
}

/** How a verdict ends. */
type VerdictEnd =
  /** A run with the part got through at this host. */
  | 'got-through'
  /** Another host has removed it. */
  | 'removed'
  | 'expired'
  /** Its targets are listed still, so they have not crashed. */
  | 'listed'
  /** It could not be written, so that nobody could try the part again. */
  | 'unwritten';

/** Number of crashed targets that a verdict needs. */
const MIN_TARGETS = 3;
/**
 * Time from a verdict to the first request that tries again, in milliseconds,
 * and the growth of that time with each further one.
 */
const FIRST_TRIAL_MS = 10_000;
const TRIAL_GROWTH = 4;
/** How long a verdict lasts, in milliseconds. */
const VERDICT_LIFETIME_MS = 600_000;
/** Time until hosts have read that an entry has expired, in milliseconds. */
const LIST_READ_MARGIN_MS = 2700;
/** Interval between two looks at suspected parts, in milliseconds. */
const WATCH_INTERVAL_MS = 200;
const MAX_VERDICTS = 1024;
const MAX_CRASHED_TARGETS = 1024;

/** Parts that crash targets, as one host knows them. */
export class PromptSuspects {
  private readonly suspicion = new PartSuspicion();
  private readonly verdicts = new LRUCache<string, KnownVerdict>({
    max: MAX_VERDICTS,
  });
  /** Number of crashes at which a part was last logged as spared. */
  private readonly loggedSpared = new LRUCache<string, number>({
    max: MAX_VERDICTS,
  });
  private readonly rows: SuspectRowWriter;
  private isWatching = false;

  /** @param context - The store, and the list of targets. */
  constructor(private readonly context: PromptSuspectsContext) {
    this.rows = new SuspectRowWriter(context);
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
    const admission = (await this.mayTryAll(verdicts)) ? 'trial' : 'blocked';
    this.context.counters.count('prompt_parts', {outcome: admission});
    return admission;
  }

  /**
   * @param prompt - Parts of a request.
   * @returns Whether one of them is known to crash targets. Unlike
   *     {@link admit}, it lets no request through to try again.
   */
  isBlocked(prompt: PromptParts): boolean {
    const {service} = prompt;
    return partKeysOf(prompt).some(key => this.verdictOn(service, key));
  }

  /**
   * Looks at the verdicts in force, so that a crash counts against requests
   * again as soon as the verdict that accounts for it ends, however it does.
   *
   * @param target - ID of a target.
   * @returns The key of the guilty part that crashed it; undefined if none is
   *     known.
   */
  explanationOf(target: string): string | undefined {
    for (const [part, verdict] of this.verdicts.entries())
      if (verdict.crashed.has(target) && this.isInForce(part, verdict))
        return part;
    return undefined;
  }

  /**
   * @param prompt - Parts of a request whose run broke off as a crash breaks it
   *     off.
   * @param target - ID of the target.
   */
  recordBrokenRun(prompt: PromptParts, target: string): void {
    const {service} = prompt;
    const at = this.now();
    for (const key of partKeysOf(prompt)) {
      const isNew = this.suspicion.recordCrash(service, key, {
        target,
        atMs: at,
      });
      this.addCrash(key, target);
      if (!isNew) continue;
      const value = encodeJson({service, targets: [target], at});
      this.rows.put({...crashRef(key, target), value});
    }
    this.watchSuspects();
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
    const acquitted = keys.filter(key => this.verdicts.has(key));
    for (const key of acquitted) this.endVerdict(key, 'got-through');
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
    else this.endVerdict(part, 'removed');
  }

  private endVerdict(key: string, reason: VerdictEnd): void {
    const known = this.verdicts.peek(key);
    if (!known) return;
    this.verdicts.delete(key);
    const {service, targets} = known;
    this.context.log.event('prompt-part-cleared', {
      service,
      part: key,
      targets,
      reason,
    });
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
    this.addCrash(part, target);
    if (this.now() - at <= PART_CRASH_LIFETIME_MS)
      this.suspicion.recordCrash(service, part, {target, atMs: at});
    return undefined;
  }

  /** @returns Why the row is unreadable; undefined if it is not. */
  private applyVerdict(
    part: string,
    {value, version}: VersionedRow,
  ): string | undefined {
    const verdict = decodeJson(value, VERDICT);
    if (!verdict.ok) return verdict.err.message;
    if (this.now() - verdict.value.at < VERDICT_LIFETIME_MS)
      this.setVerdict(part, verdict.value, version);
    else this.rows.remove([verdictRef(part)]);
    return undefined;
  }

  private verdictOn(service: string, key: string): KnownVerdict | undefined {
    const known = this.verdicts.get(key);
    if (known && this.isOver(known)) this.strikeOff(key, known);
    else if (known) return this.isInForce(key, known) ? known : undefined;
    const crashes = this.suspicion.guiltyOf(key, this.now());
    if (!crashes) return undefined;
    const alive = crashes.filter(crash => this.isStillListed(crash));
    if (alive.length === 0) return this.pass(service, key, crashes);
    for (const {target} of alive) this.suspicion.forgetCrash(key, target);
    return this.verdictOn(service, key);
  }

  /** Whether the target has lost a connection, but has not crashed. */
  private isStillListed({target, atMs}: PartCrash): boolean {
    const knownAfterMs = this.expiryKnownAfterMs();
    const isKnown = this.now() - atMs >= knownAfterMs;
    return isKnown && this.context.directory.isListedFor(target, knownAfterMs);
  }

  /** Time until hosts know whether the entry of a target has expired. */
  private expiryKnownAfterMs(): number {
    return this.context.expiryMs() + LIST_READ_MARGIN_MS;
  }

  /** Drops a verdict that is over, or whose targets have not crashed. */
  private strikeOff(key: string, {targets, at}: Verdict): void {
    const isExpired = this.now() - at >= VERDICT_LIFETIME_MS;
    this.endVerdict(key, isExpired ? 'expired' : 'listed');
    for (const target of targets) this.suspicion.forgetCrash(key, target);
    this.rows.remove([verdictRef(key)]);
  }

  private pass(
    service: string,
    key: string,
    crashes: readonly PartCrash[],
  ): KnownVerdict | undefined {
    const targets = crashes.map(({target}) => target);
    if (this.areUnderOneRequest(key, targets)) {
      this.logSpared(service, key, targets);
      return undefined;
    }
    const verdict = {service, targets, at: this.now(), trials: 0};
    const known = this.setVerdict(key, verdict, undefined);
    this.context.log.event('prompt-part-blocked', {
      service,
      part: key,
      targets,
    });
    void this.publish(key, verdict);
    return known;
  }

  private setVerdict(
    key: string,
    verdict: Verdict,
    version: number | undefined,
  ): KnownVerdict {
    const before = this.verdicts.peek(key)?.crashed ?? [];
    const known = this.suspicion.targetsOf(key);
    const crashed = new Set([...before, ...known, ...verdict.targets]);
    const set = {...verdict, version, crashed};
    this.verdicts.set(key, set);
    return set;
  }

  /** Adds a crash to the verdict on a part, if there is one. */
  private addCrash(key: string, target: string): void {
    const known = this.verdicts.peek(key);
    if (!known || known.crashed.has(target)) return;
    const crashed = new Set([...known.crashed, target]);
    const [oldest] = crashed;
    if (crashed.size > MAX_CRASHED_TARGETS) crashed.delete(oldest!);
    this.verdicts.set(key, {...known, crashed});
  }

  private async publish(key: string, verdict: Verdict): Promise<void> {
    const ref = verdictRef(key);
    const written = await this.context.store.transact({
      expect: [{...ref, version: 0}],
      puts: [{...ref, value: encodeJson(verdict)}],
      removes: [],
    });
    if (written.ok || written.err.kind === 'conflict') return;
    const reason = written.err.kind;
    this.context.log.event('suspects-unwritten', {rows: 1, reason});
    // Nobody can try again whether a part crashes targets whose verdict is
    // nowhere, so it ends by itself.
    this.context.clock.after(FIRST_TRIAL_MS, () => {
      if (this.verdicts.get(key)?.version === undefined)
        this.endVerdict(key, 'unwritten');
    });
  }

  /**
   * Whether a verdict holds by what this host knows. Guards against sound
   * requests that are refused for crashes of which one request is the cause,
   * also if another host passed the verdict before it knew.
   */
  private isInForce(key: string, verdict: Verdict): boolean {
    const crashed = this.crashedOf(verdict);
    return !this.isOver(verdict) && !this.areUnderOneRequest(key, crashed);
  }

  /** Whether a verdict is too old, or its targets have not crashed. */
  private isOver(verdict: Verdict): boolean {
    const isExpired = this.now() - verdict.at >= VERDICT_LIFETIME_MS;
    return isExpired || this.crashedOf(verdict).length < MIN_TARGETS;
  }

  /** The targets of a verdict that are not known to live. */
  private crashedOf({targets, at}: Verdict): readonly string[] {
    const knownAfterMs = this.expiryKnownAfterMs();
    if (this.now() - at < knownAfterMs) return targets;
    const {directory} = this.context;
    return targets.filter(id => !directory.isListedFor(id, knownAfterMs));
  }

  private areUnderOneRequest(key: string, crashes: readonly string[]): boolean {
    const requests = this.context.records.withPart(key);
    return isUnderOneRequest(
      crashes,
      requests.map(({targets}) => targets),
    );
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

  /**
   * Whether this request is the one that tries all its blocked parts again. It
   * uses up no trial of one while that of another is not due.
   */
  private async mayTryAll(
    verdicts: ReadonlyArray<{
      readonly key: string;
      readonly verdict: KnownVerdict;
    }>,
  ): Promise<boolean> {
    if (!verdicts.every(({verdict}) => this.isTrialDue(verdict))) return false;
    for (const {key, verdict} of verdicts)
      if (!(await this.mayTry(key, verdict))) return false;
    return true;
  }

  private isTrialDue({version, trials, triedAt, at}: KnownVerdict): boolean {
    const pauseMs = FIRST_TRIAL_MS * TRIAL_GROWTH ** trials;
    const isDue = this.now() - (triedAt ?? at) >= pauseMs;
    return isDue && version !== undefined;
  }

  /**
   * Whether this request is the one that tries whether a part still crashes
   * targets. The write decides, so that there is one on the whole fleet.
   */
  private async mayTry(key: string, verdict: KnownVerdict): Promise<boolean> {
    const {version, crashed, ...last} = verdict;
    // Another request may have begun to try it while this one waited.
    if (version === undefined) return false;
    const now = this.now();
    const next = {...last, trials: last.trials + 1, triedAt: now};
    this.verdicts.set(key, {...next, version: undefined, crashed});
    const ref = verdictRef(key);
    const written = await this.context.store.transact({
      expect: [{...ref, version}],
      puts: [{...ref, value: encodeJson(next)}],
      removes: [],
    });
    this.context.log.event('prompt-part-tried-again', {
      service: last.service,
      part: key,
      trials: next.trials,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    if (!written.ok && written.err.kind !== 'conflict')
      this.verdicts.set(key, {...verdict, triedAt: now});
    return written.ok;
  }

  private now(): number {
    return this.context.store.storeTimeMs() ?? this.context.clock.now();
  }
}
