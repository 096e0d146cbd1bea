/**
 * State machine of the rollout of a model version to one target. The new
 * version is loaded next to the old one, becomes ready and takes the traffic;
 * only then the old one is unloaded. Free of I/O and time.
 */
import {setup, transition} from 'xstate';
import {memoizedTransition} from '../process/memoized_transition.js';

/** States of a rollout. */
export type RolloutState =
  /** The wanted version must be ordered, even if the target reports it. */
  | 'wanting'
  /** In each `…Ordered` state an order was sent and its outcome is unknown. */
  | 'loadOrdered'
  | 'loading'
  /**
   * The wanted version is ready; other versions or adapters still have to
   * change.
   */
  | 'ready'
  | 'changeOrdered'
  /** The wanted version could not be loaded. */
  | 'failed'
  | 'clearOrdered'
  /** An order was refused; no orders are sent for a while. */
  | 'held'
  | 'complete';

/** State of the wanted version as reported by the target. */
export type WantedState = 'absent' | 'loading' | 'ready' | 'failed';

/** Events of a rollout. */
export type RolloutEvent =
  /** The order that belongs to the state was sent. */
  | {readonly type: 'sent'}
  /** Outcome of an order. */
  | {readonly type: 'taken' | 'refused' | 'lost'}
  /** Report that was made after the last order took effect. */
  | {
      readonly type: 'observed';
      readonly wanted: WantedState;
      /** Whether other versions or adapters still have to change. */
      readonly unfinished: boolean;
    }
  /** The delay after a refused order has expired. */
  | {readonly type: 'expired'}
  /** Another version is wanted, or the target was unreachable. */
  | {readonly type: 'restart'};

type Observed = Extract<RolloutEvent, {readonly type: 'observed'}>;

/**
 * State machine of one model at one target.
 *
 * It starts with an order even if the target reports the wanted version. This
 * guards against an order of an earlier lease holder that is still in transit
 * and could unload the reported version. Once the target has accepted an order
 * with the new fencing token, it refuses older ones, so that later reports
 * remain valid. The same holds after an order whose outcome was lost.
 */
export const ROLLOUT_MACHINE = setup({
  types: {events: {} as RolloutEvent},
  guards: {
    isReady: ({event}) => (event as Observed).wanted === 'ready',
    isFinished: ({event}) =>
      (event as Observed).wanted === 'ready' && !(event as Observed).unfinished,
    isFailed: ({event}) => (event as Observed).wanted === 'failed',
    isAbsent: ({event}) => (event as Observed).wanted === 'absent',
  },
}).createMachine({
  id: 'rollout',
  initial: 'wanting',
  states: {
    wanting: {on: {sent: 'loadOrdered'}},
    loadOrdered: {on: {taken: 'loading', refused: 'held', lost: 'wanting'}},
    loading: {
      on: {
        restart: 'wanting',
        observed: [
          {guard: 'isReady', target: 'ready'},
          {guard: 'isFailed', target: 'failed'},
          {guard: 'isAbsent', target: 'wanting'},
        ],
      },
    },
    ready: {
      on: {
        restart: 'wanting',
        sent: 'changeOrdered',
        observed: [
          {guard: 'isFinished', target: 'complete'},
          {guard: 'isReady'},
          {target: 'wanting'},
        ],
      },
    },
    changeOrdered: {on: {taken: 'ready', refused: 'held', lost: 'wanting'}},
    complete: {
      on: {
        restart: 'wanting',
        observed: [
          {guard: 'isFinished'},
          {guard: 'isReady', target: 'ready'},
          {target: 'wanting'},
        ],
      },
    },
    failed: {
      on: {
        restart: 'wanting',
        sent: 'clearOrdered',
        observed: {guard: 'isReady', target: 'ready'},
      },
    },
    clearOrdered: {on: {taken: 'wanting', refused: 'held', lost: 'wanting'}},
    held: {on: {expired: 'wanting', restart: 'wanting'}},
  },
});

/** Initial state of a rollout. */
export const INITIAL_ROLLOUT_STATE: RolloutState = 'wanting';

/**
 * @param state - Current state of a rollout.
 * @param event - The event to apply.
 * @returns The next state; unchanged if the event has no transition.
 */
export const nextRolloutState = memoizedTransition<RolloutState, RolloutEvent>(
  (state, event) => {
    const before = ROLLOUT_MACHINE.resolveState({value: state});
    const [after] = transition(ROLLOUT_MACHINE, before, event);
    return after.value as RolloutState;
  },
);

/**
 * @param state - State of a rollout.
 * @returns Whether an order was sent and its outcome is unknown.
 */
export function isOrderPending(state: RolloutState): boolean {
  return PENDING_STATES.has(state);
}

const PENDING_STATES: ReadonlySet<RolloutState> = new Set([
  'loadOrdered',
  'changeOrdered',
  'clearOrdered',
]);
