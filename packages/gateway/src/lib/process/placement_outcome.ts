/** Outcomes of the search for a target of an online request or an item. */
import type {ShareFigures} from '@oathead/core';
import type {FullCause} from '../connection/placement_message.js';
import type {Target} from '../connection/target.js';

/** A target was selected. */
export interface Placed {
  readonly kind: 'placed';
  readonly target: Target;
}

/** No target may take the request now. */
export interface NotPlaced {
  readonly kind: 'full';
  readonly cause: FullCause;
  /**
   * When the caller should retry, in milliseconds; undefined if nobody has
   * scheduled a retry for this request.
   */
  readonly retryAfterMs: number | undefined;
  /** Share of the account, if it was over it. */
  readonly figures?: ShareFigures | undefined;
}

/** Outcome of the search for a target of an online request. */
export type PlacementOutcome = Placed | NotPlaced;

/** Outcome of the search for a target of a batch item. */
export type ItemPlacementOutcome =
  | Placed
  /** No target has a free slot for it, by the view of this host. */
  | {readonly kind: 'full'; readonly by: 'own-view'}
  /** The coordinator that was asked grants none. */
  | {readonly kind: 'full'; readonly by: 'coordinator'};

/** No target has free capacity, and no retry is scheduled. */
export const NO_ROOM: NotPlaced = {
  kind: 'full',
  cause: 'room',
  retryAfterMs: undefined,
};

/**
 * @param target - The selected target; undefined if none has free capacity.
 * @returns The outcome.
 */
export function placementOutcome(target: Target | undefined): PlacementOutcome {
  return target ? {kind: 'placed', target} : NO_ROOM;
}
