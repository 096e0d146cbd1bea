/**
 * State machine of one batch item, free of I/O.
 *
 * A suspect is an item that was in flight when a target died, so it may have
 * caused the crash. It waits to run alone, and fails for good if a target dies
 * again while running it.
 */
import {setup, transition} from 'xstate';
import {memoizedTransition} from '../process/memoized_transition.js';

/** States of an item; the last four are final. */
export type ItemState =
  | 'waiting'
  | 'leased'
  | 'started'
  | 'suspect'
  | 'suspectLeased'
  | 'suspectStarted'
  | 'done'
  | 'failed'
  | 'cancelled'
  | 'unknown';

/** Events of an item. */
export type ItemEvent =
  /** Selected to be run by the holder of its share. */
  | {readonly type: 'lease'}
  /** Selected, but not sent. */
  | {readonly type: 'release'}
  /** About to be sent. */
  | {readonly type: 'start'}
  | {readonly type: 'complete'}
  /** The item can never be completed. */
  | {readonly type: 'fail'}
  /** No engine has received it, or it was preempted. */
  | {readonly type: 'return'}
  /** The item may have run, and its outcome will not be received. */
  | {
      readonly type: 'lose';
      readonly idempotent: boolean;
      /** Whether the target died while the item was in flight. */
      readonly suspect: boolean;
      /** Whether no further attempt is allowed. */
      readonly last: boolean;
    }
  /**
   * Its lease holder died, and the next one found it in this recorded state.
   */
  | {readonly type: 'orphan'; readonly idempotent: boolean}
  | {readonly type: 'cancel'; readonly idempotent: boolean};

/**
 * State machine of one item. It has no context: events carry what the guards
 * need, so that one character can encode the state of an item.
 */
export const ITEM_MACHINE = setup({
  types: {events: {} as ItemEvent},
  guards: {
    repeatable: ({event}) => 'idempotent' in event && event.idempotent,
    once: ({event}) => 'idempotent' in event && !event.idempotent,
    suspect: ({event}) => 'suspect' in event && event.suspect,
    last: ({event}) => 'last' in event && event.last,
  },
}).createMachine({
  id: 'item',
  initial: 'waiting',
  states: {
    waiting: {on: {lease: 'leased', cancel: 'cancelled'}},
    leased: {
      on: {
        start: 'started',
        release: 'waiting',
        orphan: 'waiting',
        cancel: 'cancelled',
      },
    },
    started: {
      on: {
        complete: 'done',
        fail: 'failed',
        return: 'waiting',
        lose: [
          {guard: 'once', target: 'unknown'},
          {guard: 'suspect', target: 'suspect'},
          {guard: 'last', target: 'failed'},
          {target: 'waiting'},
        ],
        orphan: [{guard: 'once', target: 'unknown'}, {target: 'waiting'}],
        cancel: {guard: 'repeatable', target: 'cancelled'},
      },
    },
    suspect: {on: {lease: 'suspectLeased', cancel: 'cancelled'}},
    suspectLeased: {
      on: {
        start: 'suspectStarted',
        release: 'suspect',
        orphan: 'suspect',
        cancel: 'cancelled',
      },
    },
    suspectStarted: {
      on: {
        complete: 'done',
        fail: 'failed',
        return: 'suspect',
        lose: [
          {guard: 'suspect', target: 'failed'},
          {guard: 'last', target: 'failed'},
          {target: 'suspect'},
        ],
        orphan: 'suspect',
        cancel: 'cancelled',
      },
    },
    done: {type: 'final'},
    failed: {type: 'final'},
    cancelled: {type: 'final'},
    unknown: {type: 'final'},
  },
});

const FINAL_STATES: ReadonlySet<ItemState> = new Set([
  'done',
  'failed',
  'cancelled',
  'unknown',
]);

/**
 * @param state - State of an item.
 * @returns Whether the state is final.
 */
export function isFinalItemState(state: ItemState): boolean {
  return FINAL_STATES.has(state);
}

/**
 * @param state - Current state of an item.
 * @param event - The event to apply.
 * @returns The next state; unchanged if the event has no transition, as for
 *     every event in a final state.
 */
export const nextItemState = memoizedTransition<ItemState, ItemEvent>(
  (state, event) => {
    const before = ITEM_MACHINE.resolveState({value: state});
    const [after] = transition(ITEM_MACHINE, before, event);
    return after.value as ItemState;
  },
);
