/** The states of a process: when it takes requests, and when it may end. */
import {createActor, setup} from 'xstate';

/** What makes a process change its state. */
export type LifecycleEvent =
  /** Configuration and targets are known. */
  | {readonly type: 'PREPARED'}
  /** A planned stop was asked for. */
  | {readonly type: 'STOP'}
  /** Nothing is under way any more, or the time for it is over. */
  | {readonly type: 'IDLE'};

/** The states, in the order in which they are passed. */
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

/** Keeps the state of a process. */
export class Lifecycle implements Disposable {
  private readonly actor = createActor(machine);

  /** @param onChange - Called with each new state, the first one included. */
  constructor(onChange: (state: LifecycleState) => void) {
    let last: LifecycleState | undefined;
    this.actor.subscribe(({value}) => {
      if (value === last) return;
      last = value as LifecycleState;
      onChange(last);
    });
    this.actor.start();
  }

  /** The state now. */
  get state(): LifecycleState {
    return this.actor.getSnapshot().value as LifecycleState;
  }

  /** @param event - What has happened. */
  send(event: LifecycleEvent): void {
    this.actor.send(event);
  }

  /** Ends the machine. */
  [Symbol.dispose](): void {
    this.actor.stop();
  }
}
