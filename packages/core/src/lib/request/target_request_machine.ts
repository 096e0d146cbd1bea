/**
 * A request at the target process, as a pure machine. It is stepped on changes
 * of state only, never for each token.
 */
import {initialTransition, setup, transition} from 'xstate';
import type {SnapshotFrom} from 'xstate';

/** What can happen to a request at its target process. */
export type TargetRequestEvent =
  /** It is being handed to the engine. */
  | {readonly type: 'start'}
  | {readonly type: 'first-token'}
  /** The engine must be free of it; its tokens are kept. */
  | {readonly type: 'preempt'}
  /** The engine is free of it. */
  | {readonly type: 'freed'}
  /** It has its outcome. */
  | {readonly type: 'end'};

/** The states of a request; an engine may have seen it in all but `waiting`. */
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
        // Only a piece of its prompt was to be prefilled.
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

/** A request's state as the machine keeps it. */
export type TargetRequestSnapshot = SnapshotFrom<typeof MACHINE>;

const INITIAL = initialTransition(MACHINE)[0];

/** @returns The snapshot of a request that has just arrived. */
export function initialTargetRequest(): TargetRequestSnapshot {
  return INITIAL;
}

/**
 * @param snapshot - The request so far.
 * @param event - What happened.
 * @returns The new snapshot; the same one when the event means nothing now.
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
 * @param state - The state of a request.
 * @returns Whether no engine can have seen it, so that "not run" is true.
 */
export function isUnseen(state: TargetRequestState): boolean {
  return state === 'waiting';
}
