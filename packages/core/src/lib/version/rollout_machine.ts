/**
 * One target's way to the version of a model that takes traffic: it is loaded
 * beside the old one, becomes ready, takes the traffic, and only then the old
 * one is unloaded. Apart from all input, output and time.
 */
import {setup, transition} from 'xstate';
import {memoizedStep} from '../process/memoized_step.js';

/** Each state of the way. */
export type RolloutState =
  /** The wanted version is to be ordered, also where it seems to be there. */
  | 'wanting'
  /** Each `…Ordered`: the order is sent, its outcome not known. */
  | 'loadOrdered'
  | 'loading'
  /** The wanted version is ready; something else is left to be changed. */
  | 'ready'
  | 'changeOrdered'
  /** The wanted version could not be loaded. */
  | 'failed'
  | 'clearOrdered'
  /** An order was refused: nothing is ordered for a while. */
  | 'held'
  | 'complete';

/** The wanted version, as the target reports it. */
export type WantedState = 'absent' | 'loading' | 'ready' | 'failed';

/** What happens on the way. */
export type RolloutEvent =
  /** The order that belongs to the state was sent. */
  | {readonly type: 'sent'}
  /** The outcome of an order. */
  | {readonly type: 'taken' | 'refused' | 'lost'}
  /** A report that was made after the last order had its effect. */
  | {
      readonly type: 'observed';
      readonly wanted: WantedState;
      /** Other versions, or adapters, are still to be changed. */
      readonly unfinished: boolean;
    }
  /** A held order may be tried again. */
  | {readonly type: 'expired'}
  /** Another version is wanted, or the target was away. */
  | {readonly type: 'restart'};

type Observed = Extract<RolloutEvent, {readonly type: 'observed'}>;

/**
 * The machine of one model at one target.
 *
 * It begins with an order even where the wanted version is reported to be
 * there. Guards against an order of an earlier holder that is still on its way:
 * it could unload what the report shows. Once the target has taken an order
 * with the new token, older ones are refused, and what is reported afterwards
 * stays so. The same holds after an order whose outcome was lost.
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

/** Where every way begins. */
export const ROLLOUT_START: RolloutState = 'wanting';

/**
 * @param state - A state.
 * @param event - What happens.
 * @returns The state after it; the same when the event means nothing there.
 */
export const nextRolloutState = memoizedStep<RolloutState, RolloutEvent>(
  (state, event) => {
    const before = ROLLOUT_MACHINE.resolveState({value: state});
    const [after] = transition(ROLLOUT_MACHINE, before, event);
    return after.value as RolloutState;
  },
);

/**
 * @param state - A state.
 * @returns Whether the outcome of an order is awaited in it.
 */
export function isOrderPending(state: RolloutState): boolean {
  return PENDING_STATES.has(state);
}

const PENDING_STATES: ReadonlySet<RolloutState> = new Set([
  'loadOrdered',
  'changeOrdered',
  'clearOrdered',
]);
