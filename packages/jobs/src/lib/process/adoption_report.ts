/** Reports adoptions of jobs that come to nothing. */
import type {Counters, EventLog} from '@oathead/core';
import {LRUCache} from 'lru-cache';

/** Maximum number of jobs whose failed attempts are counted. */
const MAX_FAILING_JOBS = 4096;

/** Writes log lines about jobs that this host owns and does not process. */
export class AdoptionReport {
  private readonly attempts = new LRUCache<string, number>({
    max: MAX_FAILING_JOBS,
  });

  /** @param context - Log and counters. */
  constructor(
    private readonly context: {
      readonly log: EventLog;
      readonly counters: Counters;
    },
  ) {}

  /**
   * Reports that a job could not be read. It is tried again by the next sweep,
   * so only attempts whose number is a power of two are logged.
   *
   * @param job - ID of the job.
   * @param how - How this host became its owner.
   * @param reason - Why the job could not be read.
   */
  failed(job: string, how: string, reason: string): void {
    const {log, counters} = this.context;
    const attempt = (this.attempts.get(job) ?? 0) + 1;
    this.attempts.set(job, attempt);
    counters.count('job_adoptions_failed', {how});
    if (Number.isInteger(Math.log2(attempt)))
      log.event('job-adoption-failed', {job, how, reason, attempt});
  }

  /**
   * Reports that a job was not adopted, although it could be read.
   *
   * @param job - ID of the job.
   * @param how - How this host became its owner.
   * @param reason - Why it is no longer this host's.
   */
  dropped(job: string, how: string, reason: 'closed' | 'other-owner'): void {
    this.attempts.delete(job);
    this.context.log.event('job-adoption-dropped', {job, how, reason});
  }

  /** @param job - ID of a job that was adopted. */
  succeeded(job: string): void {
    this.attempts.delete(job);
  }
}
