/** Reports jobs without a live owner, in a bounded number of log lines. */
import type {Counters, EventLog} from '@oathead/core';

/** Why the owner of a job counts as gone. */
export type OwnerAbsence =
  /** The job was given up without a new owner. */
  | 'none'
  /** The owner's host runs another incarnation. */
  | 'replaced'
  /** The owner was seen alive and its lease has expired. */
  | 'lapsed'
  /** This host has never seen the owner. */
  | 'unknown';

/** A job that has just been found without a live owner. */
export interface FoundOrphan {
  readonly job: string;
  readonly owner: string;
  readonly version: number;
  readonly absence: OwnerAbsence;
}

/** The order in which hosts claim a job. */
export interface ClaimOrder {
  /** Member ID of the host that comes first. */
  readonly first: string;
  /** Position of this host; 0 if it comes first. */
  readonly rank: number;
  readonly hosts: number;
}

/** What a host knows of all open jobs. */
export interface OpenJobs {
  readonly open: number;
  readonly owned: number;
  readonly orphans: number;
  /** How long the oldest of the orphans has had no live owner. */
  readonly longestMs: number;
}

/**
 * Maximum number of lines about single jobs in a second. After the loss of all
 * hosts, each host finds all open jobs without an owner at once.
 */
const MAX_LINES_PER_SECOND = 20;
const SECOND_MS = 1000;

/** Writes log lines about jobs without a live owner. */
export class OrphanReport {
  private lines = 0;
  private secondStartedAt = -Infinity;
  private summarizedAt = -Infinity;

  /** @param context - Log and counters. */
  constructor(
    private readonly context: {
      readonly log: EventLog;
      readonly counters: Counters;
    },
  ) {}

  /**
   * Reports a job once.
   *
   * @param orphan - The job and its last owner.
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   * @param order - Returns the order of claims; called only if a line is
   *   written.
   */
  found(orphan: FoundOrphan, nowMs: number, order: () => ClaimOrder): void {
    const {log, counters} = this.context;
    counters.count('jobs_orphaned', {absence: orphan.absence});
    if (nowMs - this.secondStartedAt >= SECOND_MS) {
      this.secondStartedAt = nowMs;
      this.lines = 0;
    }
    if (this.lines === MAX_LINES_PER_SECOND) return;
    this.lines++;
    log.event('job-orphaned', {...orphan, ...order()});
  }

  /**
   * Reports all open jobs while some have no live owner, once a second at most.
   *
   * @param nowMs - Time on this host's monotonic clock, in milliseconds.
   * @param jobs - Returns the counts; called only if a line is written.
   */
  summarize(nowMs: number, jobs: () => OpenJobs): void {
    if (nowMs - this.summarizedAt < SECOND_MS) return;
    this.summarizedAt = nowMs;
    this.context.log.event('jobs-without-owner', {...jobs()});
  }
}
