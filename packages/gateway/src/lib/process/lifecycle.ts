/**
 * State machine of the process: when it accepts requests and when it may exit.
 */
import {createActor, setup} from 'xstate';

/** Events that trigger state transitions. */
export type LifecycleEvent =
  /** The configuration and the targets are known. */
  | {readonly type: 'PREPARED'}
  /** A planned shutdown was requested. */
  | {readonly type: 'STOP'}
  /** No requests are in progress, or the drain timeout has expired. */
  | {readonly type: 'IDLE'};

/** States, in the order in which they are entered. */
export type LifecycleState = 'starting' | 'ready' | 'draining' | 'stopped';

const machine = setup({types: {events: {} as LifecycleEvent}}).createMachine({
  id: 'process',
  initial: 'starting',
  states: {
    starting: {on: {PREPARED: 'ready', STOP: 'draining'}},
    ready: {on: {STOP: 'draining'}},
    draining: {on: {IDLE: 'stopped'}},
    stopped: {type: 'final'},
  },
});

/** Tracks the state of a process. */
export class Lifecycle implements Disposable {
  private readonly actor = createActor(machine);

  /**
   * @param onChange - Called with each new state, including the initial one.
   */
  constructor(onChange: (state: LifecycleState) => void) {
    let last: LifecycleState | undefined;
    this.actor.subscribe(({value}) => {
      if (value === last) return;
      last = value as LifecycleState;
      onChange(last);
    });
    this.actor.start();
  }

  /** Current state. */
  get state(): LifecycleState {
    return this.actor.getSnapshot().value as LifecycleState;
  }

  /** @param event - The event to process. */
  send(event: LifecycleEvent): void {
    this.actor.send(event);
  }

  /** Stops the state machine. */
  [Symbol.dispose](): void {
    this.actor.stop();
  }
}
