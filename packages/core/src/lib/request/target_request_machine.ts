/**
 * State machine of a request at a target process. The machine is pure, and
 * makes a transition only on state changes, not for each token.
 */
import {initialTransition, setup, transition} from 'xstate';
import type {SnapshotFrom} from 'xstate';

/** Events of a request at its target process. */
export type TargetRequestEvent =
  /** The request is being passed to the engine. */
  | {readonly type: 'start'}
  | {readonly type: 'first-token'}
  /** The engine must stop running the request; its tokens are kept. */
  | {readonly type: 'preempt'}
  /** The engine no longer runs the request. */
  | {readonly type: 'freed'}
  /** The outcome of the request is known. */
  | {readonly type: 'end'};

/** States of a request; an engine may have received it in all but `waiting`. */
export type TargetRequestState =
  'waiting' | 'started' | 'streaming' | 'preempting' | 'preempted' | 'ended';

const MACHINE = setup({
  types: {events: {} as TargetRequestEvent},
}).createMachine({
  id: 'targetRequest',
  initial: 'waiting',
  states: {
    waiting: {on: {start: 'started', end: 'ended'}},
    started: {
      on: {
        'first-token': 'streaming',
        preempt: 'preempting',
        // Only a chunk of its prompt was to be prefilled.
        freed: 'preempted',
        end: 'ended',
      },
    },
    streaming: {on: {preempt: 'preempting', end: 'ended'}},
    preempting: {on: {freed: 'preempted', end: 'ended'}},
    preempted: {on: {start: 'started', end: 'ended'}},
    ended: {type: 'final'},
  },
});

/** State of a request as kept by the machine. */
export type TargetRequestSnapshot = SnapshotFrom<typeof MACHINE>;

const INITIAL = initialTransition(MACHINE)[0];

/** @returns The snapshot of a request that has just arrived. */
export function initialTargetRequest(): TargetRequestSnapshot {
  return INITIAL;
}

/**
 * @param snapshot - Current snapshot of the request.
 * @param event - The event to apply.
 * @returns The new snapshot; the same object if the event has no transition.
 */
export function stepTargetRequest(
  snapshot: TargetRequestSnapshot,
  event: TargetRequestEvent,
): TargetRequestSnapshot {
  return snapshot.can(event)
    ? transition(MACHINE, snapshot, event)[0]
    : snapshot;
}

/**
 * @param state - State of a request.
 * @returns Whether no engine can have received the request, so that it can be
 *     reported as not run.
 */
export function isUnseenByEngine(state: TargetRequestState): boolean {
  return state === 'waiting';
}
