/**
 * State machine of one target as seen by one entry. The machine is pure; a
 * table maps each state to its effect on traffic.
 */
import {createMachine, getInitialSnapshot, getNextSnapshot} from 'xstate';

/** States of a target. */
export type TargetState =
  /** No reply yet on the current connection. */
  | 'probing'
  | 'healthy'
  /** Clearly slower than its peers, or failing; gets a smaller share. */
  | 'degraded'
  /** No reply on the old or on a new connection; gets no new requests. */
  | 'suspected'
  /** Draining: completes its current requests and gets no new ones. */
  | 'leaving'
  | 'gone';

/** Events that an entry observes about a target. */
export type TargetEvent =
  /** A heartbeat was answered. */
  | {readonly type: 'replied'}
  /** The connection and its replacement are both silent. */
  | {readonly type: 'silent'}
  /** Latency or failures make the target an outlier among its peers. */
  | {readonly type: 'outlier'}
  /** The target is no longer an outlier. */
  | {readonly type: 'recovered'}
  /**
   * The target itself, the host list or the configuration says that it drains.
   */
  | {readonly type: 'leave'}
  /** Draining was revoked. */
  | {readonly type: 'stay'}
  /** The target is no longer declared or listed. */
  | {readonly type: 'removed'};

const TO_LEAVING = {leave: 'leaving', removed: 'gone'} as const;

/** State machine of one target. */
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
    // A suspected target that replies is probed again: its caches may be cold
    // and it may have missed orders to drain.
    suspected: {
      on: {...TO_LEAVING, replied: 'probing'},
    },
    leaving: {
      on: {stay: 'probing', removed: 'gone'},
    },
    gone: {type: 'final'},
  },
});

/** Effect of a state on traffic. */
export interface TargetTraffic {
  /** Whether new requests may be sent. */
  readonly acceptsNew: boolean;
  /** Largest share of new requests, relative to 1 for a healthy target. */
  readonly maxShare: number;
}

/** Effect of each state on traffic. */
export const TARGET_TRAFFIC: Readonly<Record<TargetState, TargetTraffic>> = {
  probing: {acceptsNew: true, maxShare: 0.25},
  healthy: {acceptsNew: true, maxShare: 1},
  degraded: {acceptsNew: true, maxShare: 0.5},
  suspected: {acceptsNew: false, maxShare: 0},
  leaving: {acceptsNew: false, maxShare: 0},
  gone: {acceptsNew: false, maxShare: 0},
};

/** @returns The initial state of a target. */
export function initialTargetState(): TargetState {
  return getInitialSnapshot(TARGET_MACHINE).value as TargetState;
}

/**
 * @param state - Current state of a target.
 * @param event - The observed event.
 * @returns The next state; unchanged if the event has no transition.
 */
export function nextTargetState(
  state: TargetState,
  event: TargetEvent,
): TargetState {
  const snapshot = TARGET_MACHINE.resolveState({value: state});
  return getNextSnapshot(TARGET_MACHINE, snapshot, event).value as TargetState;
}
