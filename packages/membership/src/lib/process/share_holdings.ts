/** The shares of this entry: state, epoch, and the row version that fences. */
import {nextShareLeaseState} from '@oathead/core';
import type {ShareLeaseEvent, ShareLeaseState} from '@oathead/core';
import type {RowCheck} from '@oathead/stores';
import {shareKey} from './lease_row.js';
import type {HeldShare} from './membership.js';

interface Holding {
  readonly state: ShareLeaseState;
  readonly epoch: number;
  readonly version: number;
}

/** Called when a share comes or goes. */
export interface HoldingsListener {
  taken(share: HeldShare): void;
  lost(share: HeldShare): void;
}

const MAY_RECORD: ReadonlySet<ShareLeaseState> = new Set([
  'held',
  'handingOver',
]);

/** The shares of this entry. */
export class ShareHoldings {
  private readonly holdings = new Map<number, Holding>();

  /** @param listener - Told of each share that comes or goes. */
  constructor(private readonly listener: HoldingsListener) {}

  /** @returns Shares that allow new work. */
  held(): readonly HeldShare[] {
    return this.shares(state => state === 'held');
  }

  /** @returns All shares that this entry owns, or owned when it last knew. */
  all(): readonly HeldShare[] {
    return this.shares(() => true);
  }

  /**
   * @param share - A share.
   * @returns The condition for a write about it, if it may be written about.
   */
  fence(share: number): RowCheck | undefined {
    const holding = this.holdings.get(share);
    if (holding === undefined || !MAY_RECORD.has(holding.state)) return;
    return {key: shareKey(share), version: holding.version};
  }

  /**
   * @param share - A share that the stored rows give to this entry.
   * @param version - Version of its row.
   */
  grant(share: HeldShare, version: number): void {
    this.revoke(share.share);
    const state = nextShareLeaseState('absent', {type: 'grant'});
    this.holdings.set(share.share, {state, epoch: share.epoch, version});
    this.listener.taken(share);
  }

  /**
   * @param share - A share that is not this entry's any more.
   */
  revoke(share: number): void {
    const holding = this.holdings.get(share);
    if (holding === undefined) return;
    this.holdings.delete(share);
    this.listener.lost({share, epoch: holding.epoch});
  }

  /**
   * Tells all shares, or some, what happened.
   *
   * @param event - What happened.
   * @param shares - To which shares; all by default.
   */
  tell(
    event: Exclude<ShareLeaseEvent, {type: 'grant' | 'revoke'}>,
    shares: readonly number[] = [...this.holdings.keys()],
  ): void {
    for (const share of shares) this.step(share, event);
  }

  private step(share: number, event: ShareLeaseEvent): void {
    const holding = this.holdings.get(share);
    if (holding === undefined) return;
    const state = nextShareLeaseState(holding.state, event);
    if (state === holding.state) return;
    this.holdings.set(share, {...holding, state});
    const told = {share, epoch: holding.epoch};
    if (state === 'suspended') this.listener.lost(told);
    if (state === 'held') this.listener.taken(told);
  }

  private shares(
    filter: (state: ShareLeaseState) => boolean,
  ): readonly HeldShare[] {
    return [...this.holdings]
      .filter(([, {state}]) => filter(state))
      .map(([share, {epoch}]) => ({share, epoch}));
  }
}
