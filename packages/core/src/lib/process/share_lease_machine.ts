/**
 * The life of one share of work at one entry, apart from all input and output.
 *
 * Only `held` allows new work. `handingOver` may still record what it has.
 * `suspended` may do neither: the entry's lease has run out by its own clock,
 * and another may or may not have taken the share.
 */
import {setup, transition} from 'xstate';
import {memoizedStep} from './memoized_step.js';

/** Each state of a share at one entry. */
export type ShareLeaseState = 'absent' | 'held' | 'handingOver' | 'suspended';

/** What happens to a share at one entry. */
export type ShareLeaseEvent =
  /** The stored rows name this entry as owner, and its lease is valid. */
  | {readonly type: 'grant'}
  /** The entry's lease has run out by its own clock. */
  | {readonly type: 'lapse'}
  /** The lease was renewed, and the share's row still names this entry. */
  | {readonly type: 'renew'}
  /** The share is to go to another entry. */
  | {readonly type: 'handOver'}
  /** The hand-over did not take place. */
  | {readonly type: 'keep'}
  /** The stored rows name another owner, or a later epoch. */
  | {readonly type: 'revoke'};

/** The machine of one share at one entry. */
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
 * @param state - State of a share at this entry.
 * @param event - What happens to it.
 * @returns The state after it; the same when the event means nothing there.
 */
export const nextShareLeaseState = memoizedStep<
  ShareLeaseState,
  ShareLeaseEvent
>((state, event) => {
  const before = SHARE_LEASE_MACHINE.resolveState({value: state});
  const [after] = transition(SHARE_LEASE_MACHINE, before, event);
  return after.value as ShareLeaseState;
});
