/**
 * Decides which item of a host gets any free slot, because no target has worked
 * on its job for long. Answers an overload of online requests, and full targets
 * nearby beside free ones elsewhere: an item that can wait, or is late, gets only
 * slots that nothing else needs, at few targets, and would wait until its
 * retention ends.
 */
import {neglectedMs, type ItemCandidate} from './item_candidate.js';
import type {ItemWork} from './item_work.js';
import type {OwnedJob} from './owned_job.js';

/**
 * Time without work after which a job has the claim, in milliseconds. A job that
 * no target has had for five seconds beside free slots counts as forgotten.
 */
const NEGLECTED_MS = 3000;

/** Fields of a job that tell how long it has been neglected. */
export type NeglectedJob = Pick<OwnedJob, 'work' | 'adoptedAtMs'>;

/**
 * @param job - A job of this host.
 * @param now - The current time on the monotonic clock, in milliseconds.
 * @returns Time since a target last worked on one of its items under this
 *     owner, in milliseconds; 0 if one is running.
 */
export function jobNeglectedMs(job: NeglectedJob, now: number): number {
  let least = now - job.adoptedAtMs;
  for (const work of job.work) {
    if (work.stage.kind === 'running') return 0;
    least = Math.min(least, neglectedMs({job, work}, now));
  }
  return least;
}

/**
 * Gives the claim to one item at a time. Guards online requests against hosts
 * that fill all slots with items while their queues are long.
 */
export class NeglectClaim {
  private claimant: ItemWork | undefined;

  /**
   * @param candidates - The items that may start now, in order of priority.
   * @param now - The current time on the monotonic clock, in milliseconds.
   * @returns The first item of the job that has been neglected longest;
   *     undefined if none has for long, or if an item with the claim is
   *     running.
   */
  next(
    candidates: readonly ItemCandidate[],
    now: number,
  ): ItemCandidate | undefined {
    if (this.claimant?.stage.kind === 'running') return undefined;
    const seen = new Set<NeglectedJob>();
    let next: ItemCandidate | undefined;
    let longestMs = 0;
    for (const candidate of candidates) {
      const {job} = candidate;
      if (seen.has(job)) continue;
      seen.add(job);
      const ms = jobNeglectedMs(job, now);
      const isNeglected = ms >= NEGLECTED_MS && ms > longestMs;
      if (!isNeglected) continue;
      next = candidate;
      longestMs = ms;
    }
    return next;
  }

  /** @param work - An item that has started with the claim. */
  take(work: ItemWork): void {
    this.claimant = work;
  }

  /** @returns Whether an item has the claim, or had it last. */
  isHeldBy(work: ItemWork): boolean {
    return this.claimant === work;
  }
}
