/**
 * Decides why a waiting item is not running. Called once a second, for the item
 * that has waited longest.
 */

/** Why an item waits. */
export type WaitReason =
  /** A failed run is being written to the store. */
  | 'recording-failure'
  /** This host is stopping and starts no more items. */
  | 'paused'
  /** Another item tries a part of its prompt that is held to crash targets. */
  | 'blocked-part'
  /** Shortly after a run that does not count as a failure. */
  | 'after-run'
  /** After a failed run. */
  | 'after-failure'
  | 'no-configuration'
  | 'no-route'
  /** The search for a target of some item has not ended. */
  | 'placement-pending'
  /** Its service has no targets. */
  | 'no-target'
  /** All targets of its service have failed this host a moment ago. */
  | 'all-suspended'
  /** None of the targets that this host would use for it has a free slot. */
  | 'full-by-own-view'
  /** The coordinator that was asked grants none. */
  | 'full-by-coordinator'
  /** No search for such an item has failed; others are started first. */
  | 'behind-others';

/** What the wait of an item depends on. */
export interface WaitSituation {
  readonly isRecording: boolean;
  readonly isPaused: boolean;
  readonly isBehindTrial: boolean;
  readonly isAfterRun: boolean;
  readonly isAfterFailure: boolean;
  readonly hasConfiguration: boolean;
  readonly hasRoute: boolean;
  /** How long the current search has taken, in milliseconds; 0 without one. */
  readonly searchMs: number;
  /** Who found no free slot last; undefined if a target was found. */
  readonly refusedBy: 'own-view' | 'coordinator' | undefined;
  readonly targets: number;
  readonly suspended: number;
}

/**
 * A search that takes longer is stuck, in milliseconds: ten times as long as a
 * host waits for the reply to a placement request.
 */
const LONG_SEARCH_MS = 250;

const CAUSES: ReadonlyArray<
  readonly [WaitReason, (situation: WaitSituation) => boolean]
> = [
  ['recording-failure', ({isRecording}) => isRecording],
  ['paused', ({isPaused}) => isPaused],
  ['blocked-part', ({isBehindTrial}) => isBehindTrial],
  ['after-run', ({isAfterRun}) => isAfterRun],
  ['after-failure', ({isAfterFailure}) => isAfterFailure],
  ['no-configuration', ({hasConfiguration}) => !hasConfiguration],
  ['no-route', ({hasRoute}) => !hasRoute],
  ['placement-pending', ({searchMs}) => searchMs > LONG_SEARCH_MS],
  ['no-target', ({targets}) => targets === 0],
  ['all-suspended', ({targets, suspended}) => suspended === targets],
  ['full-by-own-view', ({refusedBy}) => refusedBy === 'own-view'],
  ['full-by-coordinator', ({refusedBy}) => refusedBy === 'coordinator'],
];

/**
 * @param situation - What the wait of an item depends on.
 * @returns The first thing that the scheduler would stop at.
 */
export function waitReason(situation: WaitSituation): WaitReason {
  const cause = CAUSES.find(([, applies]) => applies(situation));
  return cause?.[0] ?? 'behind-others';
}
