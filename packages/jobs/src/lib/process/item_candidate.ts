/** A waiting or running item with its job and estimate. */
import type {AccountItem} from './account_turns.js';
import {compareEstimates, type ItemEstimate} from './item_durations.js';
import type {ItemWork} from './item_work.js';
import type {OwnedJob} from './owned_job.js';
import {retryDelayMs} from './retry_delay.js';

/** An item that is scheduled. */
export interface ItemCandidate extends AccountItem {
  readonly job: OwnedJob;
  readonly work: ItemWork;
  readonly estimate: ItemEstimate;
  /** Time until its job is no longer kept, in milliseconds. */
  readonly untilExpiryMs: number;
  /** Whether it gets any free slot, because its job was neglected. */
  readonly hasClaim?: boolean;
}

/** An item, and what tells how long its host has had it. */
export interface WorkOfJob {
  readonly job: Pick<OwnedJob, 'adoptedAtMs'>;
  readonly work: Pick<ItemWork, 'timeline'>;
}

/**
 * @param a - An item.
 * @param b - Another item.
 * @returns Negative if `a` starts first and is preempted last.
 */
export function byPriority(a: ItemCandidate, b: ItemCandidate): number {
  return compareEstimates(a.estimate, b.estimate);
}

/**
 * @param candidate - A waiting item.
 * @returns Whether it should run on other targets than those that failed it.
 */
export function avoidsTargets({work}: Pick<ItemCandidate, 'work'>): boolean {
  return work.failedTargets.length > 0;
}

/**
 * @param candidate - A waiting item.
 * @param now - The current time on the monotonic clock, in milliseconds.
 * @returns Whether a failed run delays its next one.
 */
export function isDelayedByFailure(
  {job, work, estimate, untilExpiryMs}: ItemCandidate,
  now: number,
): boolean {
  const {failures, doubts, incompleteFailures, lastFailureAtMs} = work;
  if (lastFailureAtMs === undefined) return false;
  const used = failures + doubts + incompleteFailures;
  const item = {
    ...estimate,
    attemptsLeft: job.head.maxAttempts - used,
    sinceFailureMs: now - lastFailureAtMs,
    untilExpiryMs,
  };
  return retryDelayMs(item) > 0;
}

/**
 * A run in which the item received nothing is a part of its wait.
 *
 * @param candidate - A waiting item.
 * @param now - The current time on the monotonic clock, in milliseconds.
 * @returns Time since the item last received an event under this owner, or
 *   since this host became its owner, in milliseconds.
 */
export function waitedMs(
  {job, work}: Pick<ItemCandidate, 'job' | 'work'>,
  now: number,
): number {
  return now - (work.timeline.progressAtMs ?? job.adoptedAtMs);
}

/**
 * @param candidate - A waiting item.
 * @param now - The current time on the monotonic clock, in milliseconds.
 * @returns Time since a target last worked on the item under this owner, or
 *   since this host became its owner, in milliseconds.
 */
export function neglectedMs({job, work}: WorkOfJob, now: number): number {
  return now - (work.timeline.workedAtMs ?? job.adoptedAtMs);
}
