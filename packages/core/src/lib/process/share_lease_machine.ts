/**
 * State machine of one share of the batch work at one entry, free of I/O.
 *
 * Only `held` allows new work. In `handingOver` the entry may still record the
 * outcomes of work in progress. In `suspended` it may do neither: its lease has
 * expired by its own clock, and another entry may have taken the share.
 */
import {setup, transition} from 'xstate';
import {memoizedTransition} from './memoized_transition.js';

/** States of a share at one entry. */
export type ShareLeaseState = 'absent' | 'held' | 'handingOver' | 'suspended';

/** Events of a share at one entry. */
export type ShareLeaseEvent =
  /** The stored rows name this entry as owner, and its lease is valid. */
  | {readonly type: 'grant'}
  /** The entry's lease has expired by its own clock. */
  | {readonly type: 'lapse'}
  /** The lease was renewed, and the share's row still names this entry. */
  | {readonly type: 'renew'}
  /** A handover of the share to another entry begins. */
  | {readonly type: 'handOver'}
  /** The handover was abandoned. */
  | {readonly type: 'keep'}
  /** The stored rows name another owner, or a later epoch. */
  | {readonly type: 'revoke'};

/** State machine of one share at one entry. */
export const SHARE_LEASE_MACHINE = setup({
  types: {events: {} as ShareLeaseEvent},
}).createMachine({
  id: 'shareLease',
  initial: 'absent',
  states: {
    absent: {on: {grant: 'held'}},
    held: {
      on: {lapse: 'suspended', handOver: 'handingOver', revoke: 'absent'},
    },
    handingOver: {
      on: {lapse: 'suspended', keep: 'held', revoke: 'absent'},
    },
    suspended: {on: {renew: 'held', revoke: 'absent'}},
  },
});

/**
 * @param state - Current state of a share at this entry.
 * @param event - The event to apply.
 * @returns The next state; unchanged if the event has no transition.
 */
export const nextShareLeaseState = memoizedTransition<
  ShareLeaseState,
  ShareLeaseEvent
>((state, event) => {
  const before = SHARE_LEASE_MACHINE.resolveState({value: state});
  const [after] = transition(SHARE_LEASE_MACHINE, before, event);
  return after.value as ShareLeaseState;
});
