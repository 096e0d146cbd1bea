/**
 * Lets one request of the whole fleet try whether a part of prompts still
 * crashes targets.
 */
import type {EventLog} from '@oathead/core';
import {encodeJson, type RowStore} from '@oathead/stores';
import type {KnownVerdict, PartVerdicts} from './part_verdicts.js';
import {verdictRef, type Verdict} from './prompt_suspect_rows.js';

/** A verdict in force, and the key of its part. */
export interface VerdictOnPart {
  readonly key: string;
  readonly verdict: KnownVerdict;
}

/** Dependencies of {@link VerdictTrials}. */
export interface VerdictTrialsContext {
  readonly store: Pick<RowStore, 'transact'>;
  readonly log: EventLog;
  readonly verdicts: Pick<PartVerdicts, 'set'>;
  /** Returns the time by which verdicts are dated, in milliseconds. */
  readonly now: () => number;
}

/**
 * Time from a verdict to the first request that tries again, in milliseconds,
 * and the growth of that time with each further one.
 */
const FIRST_TRIAL_MS = 10_000;
const TRIAL_GROWTH = 4;
/**
 * The same for a part that is only held to see whether the crashes end: until
 * crashed targets are back and would crash again, in milliseconds.
 */
const PROVISIONAL_TRIAL_MS = 3000;
/** Number of trials of a verdict that does not say how many there may be. */
const DEFAULT_MAX_TRIALS = 3;

/**
 * @param verdict - A verdict.
 * @returns Time from it, or from its last trial, to the next one, in
 *     milliseconds.
 */
export function trialPauseMs({trials, isProvisional}: Verdict): number {
  if (!isProvisional) return FIRST_TRIAL_MS * TRIAL_GROWTH ** trials;
  if (trials === 0) return PROVISIONAL_TRIAL_MS;
  return FIRST_TRIAL_MS * TRIAL_GROWTH ** (trials - 1);
}

/** The trials of blocked parts. */
export class VerdictTrials {
  /** @param context - The verdicts, and the store that holds them. */
  constructor(private readonly context: VerdictTrialsContext) {}

  /**
   * Whether this request is the one that tries all its blocked parts again. It
   * uses up no trial of one while that of another is not due.
   *
   * @param verdicts - The verdicts in force on its parts.
   * @returns Whether it may run. Never rejects.
   */
  async mayTryAll(verdicts: readonly VerdictOnPart[]): Promise<boolean> {
    if (!verdicts.every(({verdict}) => this.isTrialDue(verdict))) return false;
    for (const {key, verdict} of verdicts)
      if (!(await this.mayTry(key, verdict))) return false;
    return true;
  }

  private isTrialDue(verdict: KnownVerdict): boolean {
    const {version, triedAt, at, trials} = verdict;
    const {maxTrials = DEFAULT_MAX_TRIALS} = verdict;
    if (trials >= maxTrials) return false;
    const isDue = this.context.now() - (triedAt ?? at) >= trialPauseMs(verdict);
    return isDue && version !== undefined;
  }

  /**
   * Whether this request is the one that tries whether a part still crashes
   * targets. The write decides, so that there is one on the whole fleet.
   */
  private async mayTry(key: string, verdict: KnownVerdict): Promise<boolean> {
    const {log, store, verdicts} = this.context;
    const {version, crashed, ...last} = verdict;
    // Another request may have begun to try it while this one waited.
    if (version === undefined) return false;
    const now = this.context.now();
    const next = {...last, trials: last.trials + 1, triedAt: now};
    verdicts.set(key, next, undefined, [...crashed]);
    const ref = verdictRef(key);
    const written = await store.transact({
      expect: [{...ref, version}],
      puts: [{...ref, value: encodeJson(next)}],
      removes: [],
    });
    log.event('prompt-part-tried-again', {
      service: last.service,
      part: key,
      trials: next.trials,
      outcome: written.ok ? 'written' : written.err.kind,
    });
    if (!written.ok && written.err.kind !== 'conflict')
      verdicts.set(key, {...last, triedAt: now}, version, []);
    return written.ok;
  }
}
