/**
 * The shares of this entry, each with its state, its epoch and the version of
 * its row, which fences writes.
 */
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

/** Notified when this entry acquires or loses a share. */
export interface HoldingsListener {
  taken(share: HeldShare): void;
  lost(share: HeldShare): void;
}

/** States of a share in which this entry may write about it. */
const WRITABLE_STATES: ReadonlySet<ShareLeaseState> = new Set([
  'held',
  'handingOver',
]);

/** The shares that this entry owns, or owned according to its last read. */
export class ShareHoldings {
  private readonly holdings = new Map<number, Holding>();

  /** @param listener - Notified of each share acquired or lost. */
  constructor(private readonly listener: HoldingsListener) {}

  /** @returns Shares on which new work may start. */
  held(): readonly HeldShare[] {
    return this.shares(state => state === 'held');
  }

  /**
   * @returns All shares in any state, including those that are suspended or
   *     being handed over.
   */
  all(): readonly HeldShare[] {
    return this.shares(() => true);
  }

  /**
   * @param share - Number of a share.
   * @returns The condition for writes about the share; undefined if this entry
   *     may not write about it.
   */
  fence(share: number): RowCheck | undefined {
    const holding = this.holdings.get(share);
    if (holding === undefined || !WRITABLE_STATES.has(holding.state)) return;
    return {key: shareKey(share), version: holding.version};
  }

  /**
   * Adds a share.
   *
   * @param share - A share that this entry owns according to the stored rows.
   * @param version - Version of its row.
   */
  grant(share: HeldShare, version: number): void {
    this.revoke(share.share);
    const state = nextShareLeaseState('absent', {type: 'grant'});
    this.holdings.set(share.share, {state, epoch: share.epoch, version});
    this.listener.taken(share);
  }

  /**
   * Removes a share; no effect if it is not here.
   *
   * @param share - Number of a share that this entry no longer owns.
   */
  revoke(share: number): void {
    const holding = this.holdings.get(share);
    if (holding === undefined) return;
    this.holdings.delete(share);
    this.listener.lost({share, epoch: holding.epoch});
  }

  /**
   * Applies an event to the states of all or some shares.
   *
   * @param event - The event.
   * @param shares - Numbers of the shares; all by default.
   */
  apply(
    event: Exclude<ShareLeaseEvent, {type: 'grant' | 'revoke'}>,
    shares: readonly number[] = [...this.holdings.keys()],
  ): void {
    for (const share of shares) this.transition(share, event);
  }

  private transition(share: number, event: ShareLeaseEvent): void {
    const holding = this.holdings.get(share);
    if (holding === undefined) return;
    const state = nextShareLeaseState(holding.state, event);
    if (state === holding.state) return;
    this.holdings.set(share, {...holding, state});
    const heldShare = {share, epoch: holding.epoch};
    if (state === 'suspended') this.listener.lost(heldShare);
    if (state === 'held') this.listener.taken(heldShare);
  }

  private shares(
    filter: (state: ShareLeaseState) => boolean,
  ): readonly HeldShare[] {
    return [...this.holdings]
      .filter(([, {state}]) => filter(state))
      .map(([share, {epoch}]) => ({share, epoch}));
  }
}
