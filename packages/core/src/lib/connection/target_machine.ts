/**
 * The state of one target as one entry sees it: a pure machine, stepped with
 * events; what a state means for traffic is looked up in a table.
 */
import {createMachine, getInitialSnapshot, getNextSnapshot} from 'xstate';

/** States of a target. */
export type TargetState =
  /** Not heard from yet on this connection. */
  | 'probing'
  | 'healthy'
  /** Clearly slower than its peers, or failing: it gets a smaller share. */
  | 'degraded'
  /** Silent on the old and on a new connection: it gets nothing new. */
  | 'suspected'
  /** It finishes what it has and gets nothing new. */
  | 'leaving'
  | 'gone';

/** What an entry notices about a target. */
export type TargetEvent =
  /** A heartbeat was answered. */
  | {readonly type: 'replied'}
  /** The connection went silent and so did the one that replaced it. */
  | {readonly type: 'silent'}
  /** It stands out from its peers by latency or errors. */
  | {readonly type: 'outlier'}
  /** It no longer does. */
  | {readonly type: 'recovered'}
  /** It says, or the host list or the configuration does, that it leaves. */
  | {readonly type: 'leave'}
  /** It was asked to leave and stays after all. */
  | {readonly type: 'stay'}
  /** It is no longer declared or listed. */
  | {readonly type: 'removed'};

const TO_LEAVING = {leave: 'leaving', removed: 'gone'} as const;

/** The machine of one target. */
export const TARGET_MACHINE = createMachine({
  types: {} as {events: TargetEvent},
  id: 'target',
  initial: 'probing',
  states: {
    probing: {
      on: {...TO_LEAVING, replied: 'healthy', silent: 'suspected'},
    },
    healthy: {
      on: {...TO_LEAVING, outlier: 'degraded', silent: 'suspected'},
    },
    degraded: {
      on: {...TO_LEAVING, recovered: 'healthy', silent: 'suspected'},
    },
    // What comes back has to show itself on its connection first: its caches
    // are cold and it may have missed orders to leave.
    suspected: {
      on: {...TO_LEAVING, replied: 'probing'},
    },
    leaving: {
      on: {stay: 'probing', removed: 'gone'},
    },
    gone: {type: 'final'},
  },
});

/** What a state means for traffic. */
export interface TargetTraffic {
  /** New requests may be sent. */
  readonly takesNew: boolean;
  /** Largest share of new requests, against a healthy target's 1. */
  readonly maxShare: number;
}

/** What each state means for traffic. */
export const TARGET_TRAFFIC: Readonly<Record<TargetState, TargetTraffic>> = {
  probing: {takesNew: true, maxShare: 0.25},
  healthy: {takesNew: true, maxShare: 1},
  degraded: {takesNew: true, maxShare: 0.5},
  suspected: {takesNew: false, maxShare: 0},
  leaving: {takesNew: false, maxShare: 0},
  gone: {takesNew: false, maxShare: 0},
};

/** @returns The state that a target begins in. */
export function initialTargetState(): TargetState {
  return getInitialSnapshot(TARGET_MACHINE).value as TargetState;
}

/**
 * @param state - The state of a target.
 * @param event - What was noticed.
 * @returns Its next state.
 */
export function nextTargetState(
  state: TargetState,
  event: TargetEvent,
): TargetState {
  const snapshot = TARGET_MACHINE.resolveState({value: state});
  return getNextSnapshot(TARGET_MACHINE, snapshot, event).value as TargetState;
}
