/**
 * Decides which hosts may claim a job without a live owner, and when. Answers
 * the load of a job whose first claimant lacks its head, or is alive and gets no
 * claim through: items are due within seconds, so the next hosts step in one
 * after the other, and a few of them at a time, however many there are.
 */

/**
 * How long a job must be without a live owner before another host claims it, in
 * milliseconds, if that host has never seen the owner alive. A host that has
 * just started may show up as the owner of a job before its first heartbeat is
 * seen.
 */
export const ORPHAN_GRACE_MS = 1500;
/**
 * Time from the turn of one host to that of the next, in milliseconds: a sweep
 * (0.5 s), a claim that gets no direct response (1.2 s) and the time until other
 * hosts know of it (0.6 s). A host whose claim succeeds is thus seen before the
 * next one claims.
 */
export const CLAIM_TURN_MS = 2500;
/**
 * Number of turns for which a host goes on claiming. Together with the first
 * host, which never stops, it bounds the hosts that claim a job at a time.
 */
export const TURNS_PER_HOST = 4;

/** What decides who may claim a job. */
export interface ClaimBasis {
  /** How long the job has been without a live owner, in milliseconds. */
  readonly orphanedForMs: number;
  /**
   * Whether the owner was alive and no longer is; false if it was never seen.
   */
  readonly ownerHasEnded: boolean;
  /** Number of hosts that could claim the job. */
  readonly hosts: number;
}

/** Ranks that may claim beside the first one: `from` and up, below `to`. */
export interface ClaimRanks {
  readonly from: number;
  readonly to: number;
}

/**
 * @param basis - The job's state, as one host sees it.
 * @returns The ranks that may claim the job now, beside rank 0; undefined if
 *   none may. When all hosts have had a turn, the second one is next again.
 */
export function claimRanks({
  orphanedForMs,
  ownerHasEnded,
  hosts,
}: ClaimBasis): ClaimRanks | undefined {
  const sinceGraceMs = orphanedForMs - (ownerHasEnded ? 0 : ORPHAN_GRACE_MS);
  if (sinceGraceMs < 0) return undefined;
  const newest = Math.floor(sinceGraceMs / CLAIM_TURN_MS) % hosts;
  const from = Math.max(0, newest - TURNS_PER_HOST + 1);
  return {from, to: newest + 1};
}
