/** Lets work on shares finish before the shares move to another entry. */
import {sleep} from '@oathead/core';
import type {Clock} from '@oathead/core';
import type {HeldShare} from './membership.js';

interface PendingHandOver {
  readonly share: HeldShare;
  finished: boolean;
}

/** The shares that this entry is handing over. */
export class HandOver {
  private readonly leaving = new Map<number, PendingHandOver>();

  /**
   * @param clock - The clock of this process.
   * @param handOverMs - Timeout for finishing the work on a share, in
   *     milliseconds. After it the share counts as finished.
   * @param finish - Finishes the work on one share; settles when done.
   */
  constructor(
    private readonly clock: Clock,
    private readonly handOverMs: number,
    private readonly finish: (share: HeldShare) => Promise<unknown>,
  ) {}

  /**
   * Starts to finish the work on a share.
   *
   * @param share - The share to hand over.
   */
  begin(share: HeldShare): void {
    const leaving = {share, finished: false};
    this.leaving.set(share.share, leaving);
    const timeout = new AbortController();
    void Promise.race([
      this.finish(share),
      sleep(this.clock, this.handOverMs, timeout.signal),
    ]).then(() => {
      timeout.abort();
      leaving.finished = true;
    });
  }

  /**
   * @param share - A share, with the epoch of this entry's ownership.
   * @returns Whether its hand-over has begun and was not removed since.
   */
  has({share, epoch}: HeldShare): boolean {
    return this.leaving.get(share)?.share.epoch === epoch;
  }

  /** @returns Shares whose work has finished or timed out. */
  ready(): readonly HeldShare[] {
    return [...this.leaving.values()].flatMap(({share, finished}) =>
      finished ? share : [],
    );
  }

  /**
   * Forgets a share that was handed over, or that this entry keeps after all.
   *
   * @param share - The share.
   */
  remove({share}: HeldShare): void {
    this.leaving.delete(share);
  }
}
