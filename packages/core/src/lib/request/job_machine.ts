/** The life of one accepted batch job, apart from all input and output. */
import {setup, transition} from 'xstate';
import {memoizedStep} from '../process/memoized_step.js';

/** Each state of an accepted job; the last two are final. */
export type JobState = 'open' | 'cancelling' | 'done' | 'cancelled';

/** What happens to a job. */
export type JobEvent =
  | {readonly type: 'cancel'}
  /** Every item has its outcome recorded. */
  | {readonly type: 'close'};

/** The machine of one job. */
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
 * @param state - State of a job.
 * @param event - What happens to it.
 * @returns The state after it; the same when the event means nothing there.
 */
export const nextJobState = memoizedStep<JobState, JobEvent>((state, event) => {
  const before = JOB_MACHINE.resolveState({value: state});
  const [after] = transition(JOB_MACHINE, before, event);
  return after.value as JobState;
});

/**
 * @param state - State of a job.
 * @returns Whether nothing about the job changes any more.
 */
export function isFinalJobState(state: JobState): boolean {
  return state === 'done' || state === 'cancelled';
}
