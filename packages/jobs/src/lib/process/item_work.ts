/** State of one item while its job is processed. */
import type {ExchangeControl} from '@oathead/gateway';
import type {JobItem} from '../request/job.js';
import type {FailedRun} from '../request/job_rows.js';
import {ItemTimeline} from './item_timeline.js';
import type {WaitReason} from './wait_reason.js';

/** Partial text of an interrupted item and the event after which it resumes. */
export interface PartialText {
  /** ID of the last event contained in `texts`. */
  readonly lastEventId?: number | undefined;
  /** Data of the events received so far. */
  readonly texts: readonly string[];
  /**
   * Software version of the targets that sent them; undefined if a build that
   * does not record it has stored them.
   */
  readonly softwareVersion?: string | undefined;
}

/** Stage of an item. */
export type ItemStage =
  /** Waits to be run, at the earliest at `notBefore`. */
  | {
      readonly kind: 'waiting';
      readonly notBefore: number;
      /** Whether another item tries a blocked part of its prompt. */
      readonly isBehindTrial?: boolean;
    }
  /** Runs on a target. */
  | {
      readonly kind: 'running';
      readonly targetId: string;
      readonly control: ExchangeControl;
    }
  /** Waits until a failed run is recorded in the job head. */
  | {readonly kind: 'recording'}
  /** Has a result, which may not be written yet. */
  | {readonly kind: 'finished'};

/** An item of a job that this host owns. */
export interface ItemWork {
  readonly index: number;
  readonly item: JobItem;
  /** Shared parts of its prompt; undefined until they are needed. */
  sharedParts: readonly string[] | undefined;
  stage: ItemStage;
  /** Number of targets that have crashed in a row when they began to run it. */
  crashes: number;
  failures: number;
  /** Number of runs of which it is in doubt whether they failed. */
  doubts: number;
  /** Number of failures under the current owner that were broken off. */
  incompleteFailures: number;
  /** IDs of the targets that failed it, the latest last. */
  failedTargets: readonly string[];
  /**
   * Time of the last failed run under the current owner, on the host's
   * monotonic clock in milliseconds.
   */
  lastFailureAtMs: number | undefined;
  /** These runs, also under earlier owners; the first ones may be missing. */
  failedRuns: readonly FailedRun[];
  lastEventId: number | undefined;
  texts: string[];
  /** Software version of the targets that sent `texts`, if it is known. */
  softwareVersion: string | undefined;
  /**
   * Since when no target of that version has had a free slot, on the host's
   * monotonic clock in milliseconds.
   */
  versionFullSinceMs: number | undefined;
  /** Number of entries of `texts` received under earlier owners. */
  inheritedTexts: number;
  /** Number of entries of `texts` that are already in the store. */
  checkpointedTexts: number;
  /** Number of runs on targets. */
  runs: number;
  /** Number of runs that ended by preemption. */
  preemptions: number;
  /**
   * Number of runs in a row that ended by preemption before the item received
   * an event.
   */
  fruitlessRuns: number;
  /** Number of runs that ended by idle timeout and lengthen the next one. */
  idleTimeouts: number;
  /** Total time on targets, in milliseconds. */
  runTimeMs: number;
  /** How long each reason has kept it waiting under the current owner. */
  readonly waits: Map<WaitReason, number>;
  /** Number of log lines that say that no target works on it. */
  neglectLines: number;
  /** Times of the runs under the current owner. */
  readonly timeline: ItemTimeline;
}

/**
 * Creates the state of an item.
 *
 * @param index - Index of the item in its job.
 * @param item - The item as submitted.
 * @param failures - Number of failed runs under earlier owners.
 * @param partial - Partial text stored by earlier owners.
 * @param doubts - Number of runs under earlier owners that may have failed.
 * @param failedRuns - What is known of the failed runs under earlier owners.
 * @returns The item in stage `waiting`.
 */
export function newItemWork(
  index: number,
  item: JobItem,
  failures: number,
  partial: PartialText | undefined,
  doubts = 0,
  failedRuns: readonly FailedRun[] = [],
): ItemWork {
  return {
    index,
    item,
    sharedParts: undefined,
    stage: {kind: 'waiting', notBefore: 0},
    crashes: 0,
    failures,
    doubts,
    incompleteFailures: 0,
    failedTargets: failedTargetsOf(failedRuns),
    lastFailureAtMs: undefined,
    failedRuns,
    lastEventId: partial?.lastEventId,
    texts: [...(partial?.texts ?? [])],
    softwareVersion: partial?.softwareVersion,
    versionFullSinceMs: undefined,
    inheritedTexts: partial?.texts.length ?? 0,
    checkpointedTexts: partial?.texts.length ?? 0,
    runs: 0,
    preemptions: 0,
    fruitlessRuns: 0,
    idleTimeouts: 0,
    runTimeMs: 0,
    waits: new Map(),
    neglectLines: 0,
    timeline: new ItemTimeline(),
  };
}

/**
 * Prepares an item for a run at a target. What targets of two software versions
 * send for one item does not fit together, so its text starts afresh if another
 * version has begun it, or if it is not known which one: a text may be stored for
 * longer than versions that have left are known.
 *
 * @param work - An item that is about to run.
 * @param softwareVersion - Version of the target.
 * @returns Whether a part of a text was dropped.
 */
export function continueAt(work: ItemWork, softwareVersion: string): boolean {
  const isDropped =
    work.texts.length > 0 && work.softwareVersion !== softwareVersion;
  if (isDropped) {
    work.lastEventId = undefined;
    work.texts = [];
    work.inheritedTexts = 0;
    work.checkpointedTexts = 0;
  }
  work.softwareVersion = softwareVersion;
  work.versionFullSinceMs = undefined;
  return isDropped;
}

/** The targets of failed runs, each once, the latest last. */
function failedTargetsOf(runs: readonly FailedRun[]): readonly string[] {
  const latestFirst = runs.map(({target}) => target).reverse();
  return [...new Set(latestFirst)].reverse();
}

/**
 * @param known - Counts of failed or doubtful runs by item index.
 * @param failed - Items of which another run has failed.
 * @param kind - Which of the two counts.
 * @returns The counts with those of the items.
 */
export function withCounts(
  known: Readonly<Record<string, number>> | undefined,
  failed: readonly ItemWork[],
  kind: 'failures' | 'doubts',
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {...known};
  for (const work of failed)
    if (work[kind] > 0) counts[work.index] = work[kind];
  return counts;
}
