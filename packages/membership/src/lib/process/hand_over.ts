/** Lets work on shares finish before the shares go to another entry. */
import {sleep} from '@oathead/core';
import type {Clock} from '@oathead/core';
import type {HeldShare} from './membership.js';

/** Shares that are on their way out. */
export class HandOver {
  private readonly finishing = new Set<number>();
  private readonly finished = new Set<number>();

  /**
   * @param clock - The clock of this process.
   * @param handOverMs - How long the work may take, in milliseconds.
   * @param finish - Finishes the work on one share.
   */
  constructor(
    private readonly clock: Clock,
    private readonly handOverMs: number,
    private readonly finish: (share: HeldShare) => Promise<unknown>,
  ) {}

  /**
   * Begins to finish the work on a share; again while it goes on does nothing.
   *
   * @param share - The share.
   */
  begin(share: HeldShare): void {
    if (this.finishing.has(share.share)) return;
    this.finishing.add(share.share);
    const stop = new AbortController();
    void Promise.race([
      this.finish(share),
      sleep(this.clock, this.handOverMs, stop.signal),
    ]).then(() => {
      stop.abort();
      this.finished.add(share.share);
    });
  }

  /** @returns Shares that have nothing left to be finished. */
  ready(): readonly number[] {
    return [...this.finished];
  }

  /** @param shares - Shares that went, or stay after all. */
  end(shares: readonly number[]): void {
    for (const share of shares) {
      this.finishing.delete(share);
      this.finished.delete(share);
    }
  }
}
