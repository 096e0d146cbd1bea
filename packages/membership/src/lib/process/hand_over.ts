/** Lets work on shares finish before the shares go to another entry. */
import {sleep} from '@oathead/core';
import type {Clock} from '@oathead/core';
import type {HeldShare} from './membership.js';

interface Leaving {
  readonly share: HeldShare;
  finished: boolean;
}

/** Shares that are on their way out. */
export class HandOver {
  private readonly leaving = new Map<number, Leaving>();

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
   * Begins to finish the work on a share.
   *
   * @param share - The share.
   */
  begin(share: HeldShare): void {
    const leaving = {share, finished: false};
    this.leaving.set(share.share, leaving);
    const stop = new AbortController();
    void Promise.race([
      this.finish(share),
      sleep(this.clock, this.handOverMs, stop.signal),
    ]).then(() => {
      stop.abort();
      leaving.finished = true;
    });
  }

  /**
   * @param share - A share.
   * @returns Whether its work is being finished, or is.
   */
  has({share, epoch}: HeldShare): boolean {
    return this.leaving.get(share)?.share.epoch === epoch;
  }

  /** @returns Shares that have nothing left to be finished. */
  ready(): readonly HeldShare[] {
    return [...this.leaving.values()].flatMap(({share, finished}) =>
      finished ? share : [],
    );
  }

  /** @param share - A share that went, or stays after all. */
  end({share}: HeldShare): void {
    this.leaving.delete(share);
  }
}
