/**
 * State machine of the connection between a link and its target. The machine is
 * pure: the driver reports events and carries out the returned actions.
 *
 * A connection can stall for good while new ones work, because a device on the
 * path has lost its state: no error is raised, and the requests on it hang.
 * Silence is therefore answered by a probe, and an unanswered probe by opening
 * a replacement next to the old connection. The target is suspected only when
 * the replacement fails too.
 */
import {initialTransition, setup, transition} from 'xstate';
import type {SnapshotFrom} from 'xstate';

/** Events reported by the driver of a connection. */
export type ConnectionEvent =
  /** A message is waiting to be sent. */
  | {readonly type: 'wanted'}
  /** A new connection was opened and answered. */
  | {readonly type: 'opened'}
  /** A new connection could not be opened, or did not answer. */
  | {readonly type: 'failed'}
  /** Data arrived on the connection in use. */
  | {readonly type: 'heard'}
  /** Requests are in flight, and no data arrived within the silence timeout. */
  | {readonly type: 'quiet'}
  /** The connection in use was closed. */
  | {readonly type: 'broken'};

/** Actions that the driver of a connection must carry out. */
export type ConnectionAction =
  /** Open a new connection and keep the one in use, if any, open meanwhile. */
  | 'connect'
  /** Send a ping on the connection in use. */
  | 'probe'
  /** Switch to the new connection and move the requests in flight to it. */
  | 'adopt'
  /** Close the new connection: the one in use has responded. */
  | 'abandon'
  /** Fail the requests in flight and close all open connections. */
  | 'fail';

/** States of a connection. */
export type ConnectionState =
  'idle' | 'connecting' | 'open' | 'silent' | 'replacing' | 'lost';

const MACHINE = setup({
  types: {events: {} as ConnectionEvent},
  actions: {
    connect: () => {},
    probe: () => {},
    adopt: () => {},
    abandon: () => {},
    fail: () => {},
  } satisfies Readonly<Record<ConnectionAction, () => void>>,
}).createMachine({
  id: 'connection',
  initial: 'idle',
  states: {
    idle: {on: {wanted: {target: 'connecting', actions: 'connect'}}},
    connecting: {
      on: {
        opened: {target: 'open', actions: 'adopt'},
        failed: {target: 'lost', actions: 'fail'},
      },
    },
    open: {
      on: {
        quiet: {target: 'silent', actions: 'probe'},
        broken: {target: 'replacing', actions: 'connect'},
      },
    },
    silent: {
      on: {
        heard: {target: 'open'},
        quiet: {target: 'replacing', actions: 'connect'},
        broken: {target: 'replacing', actions: 'connect'},
      },
    },
    replacing: {
      on: {
        heard: {target: 'open', actions: 'abandon'},
        opened: {target: 'open', actions: 'adopt'},
        failed: {target: 'lost', actions: 'fail'},
      },
    },
    lost: {on: {wanted: {target: 'connecting', actions: 'connect'}}},
  },
});

/** State of a connection together with the machine's internal data. */
export type ConnectionSnapshot = SnapshotFrom<typeof MACHINE>;

/** Result of one transition. */
export interface ConnectionStep {
  readonly snapshot: ConnectionSnapshot;
  /** Actions to carry out, in this order. */
  readonly actions: readonly ConnectionAction[];
}

/** @returns The snapshot of a connection that was never opened. */
export function initialConnection(): ConnectionSnapshot {
  return initialTransition(MACHINE)[0];
}

/**
 * @param snapshot - Current snapshot of the connection.
 * @param event - The event to apply. An event that has no transition in the
 *     current state is ignored.
 * @returns The new snapshot and the actions to carry out.
 */
export function stepConnection(
  snapshot: ConnectionSnapshot,
  event: ConnectionEvent,
): ConnectionStep {
  const [next, actions] = transition(MACHINE, snapshot, event);
  return {
    snapshot: next,
    actions: actions.map(action => action.type as ConnectionAction),
  };
}
