/** Watching the state of jobs through the head. */
import {isFinalJobState} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {JobStatus} from '../request/job.js';
import type {JobReader} from '../request/job_reader.js';

/** Watches the state of jobs. */
export class JobWatch {
  /**
   * @param reader - Reads jobs.
   * @param membership - Its head tells when any job has changed.
   */
  constructor(
    private readonly reader: JobReader,
    private readonly membership: Membership,
  ) {}

  /**
   * @param caller - Who asks.
   * @param id - The job.
   * @param signal - Ends the watch.
   * @returns Its status now, and after each change of its state, to the end. A
   *     refusal is told and the watch goes on, unless there is no such job.
   */
  async *watch(
    caller: string,
    id: string,
    signal: AbortSignal,
  ): AsyncIterable<Outcome<JobStatus, Refusal>> {
    let state: string | undefined;
    while (!signal.aborted) {
      const seen = this.membership.head().jobs;
      const status = await this.reader.status(caller, id);
      const now = status.ok ? status.value.state : status.err.kind;
      if (now !== state) yield status;
      state = now;
      if (now === 'not-found') return;
      if (status.ok && isFinalJobState(status.value.state)) return;
      await this.nextHead(status.ok ? seen : undefined, signal);
    }
  }

  /** Waits for a head that tells of another count of changes than `seen`. */
  private nextHead(
    seen: number | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        listening[Symbol.dispose]();
        signal.removeEventListener('abort', done);
        resolve();
      };
      const listening = this.membership.onHead(({jobs}) => {
        if (jobs !== seen) done();
      });
      signal.addEventListener('abort', done, {once: true});
      if (signal.aborted) done();
    });
  }
}
