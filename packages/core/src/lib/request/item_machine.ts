/**
 * The life of one batch item, apart from all input and output.
 *
 * A suspect was in flight when a target died. It waits to run alone, and fails
 * for good when a target dies with it again.
 */
import {setup, transition} from 'xstate';
import {memoizedStep} from '../process/memoized_step.js';

/** Each state of an item; the last four are final. */
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

/** What happens to an item. */
export type ItemEvent =
  /** Picked to be run by the holder of its share. */
  | {readonly type: 'lease'}
  /** Picked, but not sent after all. */
  | {readonly type: 'release'}
  /** About to be sent. */
  | {readonly type: 'start'}
  | {readonly type: 'complete'}
  /** Can never be completed. */
  | {readonly type: 'fail'}
  /** No engine has seen it, or it was given back. */
  | {readonly type: 'return'}
  /** It may have run, and its outcome will not come. */
  | {
      readonly type: 'lose';
      readonly idempotent: boolean;
      /** The target died with it in flight. */
      readonly suspect: boolean;
      /** No further attempt is allowed. */
      readonly last: boolean;
    }
  /** Its holder died; the next holder found it recorded like this. */
  | {readonly type: 'orphan'; readonly idempotent: boolean}
  | {readonly type: 'cancel'; readonly idempotent: boolean};

/**
 * The machine of one item. It has no context: what a guard needs is in the
 * event, so that one character holds an item's state.
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
 * @returns Whether its outcome stands for good.
 */
export function isFinalItemState(state: ItemState): boolean {
  return FINAL_STATES.has(state);
}

/**
 * @param state - State of an item.
 * @param event - What happens to it.
 * @returns The state after it; the same when the event means nothing there, as
 *     for every event after a final state.
 */
export const nextItemState = memoizedStep<ItemState, ItemEvent>(
  (state, event) => {
    const before = ITEM_MACHINE.resolveState({value: state});
    const [after] = transition(ITEM_MACHINE, before, event);
    return after.value as ItemState;
  },
);
