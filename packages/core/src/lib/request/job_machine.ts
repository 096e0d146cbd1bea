/** State machine of one accepted batch job, free of I/O. */
import {setup, transition} from 'xstate';
import {memoizedTransition} from '../process/memoized_transition.js';

/** States of an accepted job; the last two are final. */
export type JobState = 'open' | 'cancelling' | 'done' | 'cancelled';

/** Events of a job. */
export type JobEvent =
  | {readonly type: 'cancel'}
  /** The outcomes of all items are recorded. */
  | {readonly type: 'close'};

/** State machine of one job. */
export const JOB_MACHINE = setup({
  types: {events: {} as JobEvent},
}).createMachine({
  id: 'job',
  initial: 'open',
  states: {
    open: {on: {cancel: 'cancelling', close: 'done'}},
    cancelling: {on: {close: 'cancelled'}},
    done: {type: 'final'},
    cancelled: {type: 'final'},
  },
});

/**
 * @param state - Current state of a job.
 * @param event - The event to apply.
 * @returns The next state; unchanged if the event has no transition.
 */
export const nextJobState = memoizedTransition<JobState, JobEvent>(
  (state, event) => {
    const before = JOB_MACHINE.resolveState({value: state});
    const [after] = transition(JOB_MACHINE, before, event);
    return after.value as JobState;
  },
);

/**
 * @param state - State of a job.
 * @returns Whether the state is final, so that the job no longer changes.
 */
export function isFinalJobState(state: JobState): boolean {
  return state === 'done' || state === 'cancelled';
}
