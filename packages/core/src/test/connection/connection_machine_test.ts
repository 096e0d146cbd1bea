import test from 'ava';
import {
  initialConnection,
  stepConnection,
} from '../../lib/connection/connection_machine.js';
import type {ConnectionEvent} from '../../lib/connection/connection_machine.js';

/**
 * Applies events to a new connection.
 *
 * @returns The actions and the new state after each event, such as `connect
 *     connecting`.
 */
function historyOf(...events: readonly ConnectionEvent['type'][]): string[] {
  let snapshot = initialConnection();
  return events.map(type => {
    const step = stepConnection(snapshot, {type});
    snapshot = step.snapshot;
    return [...step.actions, snapshot.value].join(' ');
  });
}

test('connects when a message is to be sent, and again after a failure', t => {
  t.deepEqual(historyOf('wanted', 'failed', 'wanted', 'opened'), [
    'connect connecting',
    'fail lost',
    'connect connecting',
    'adopt open',
  ]);
});

// Requests hang on a connection whose state was lost by a device on the path;
// no error is raised.
test('silence causes a probe, then a replacement connection', t => {
  const silence = ['wanted', 'opened', 'quiet', 'quiet'] as const;
  t.deepEqual(historyOf(...silence, 'opened').slice(2), [
    'probe silent',
    'connect replacing',
    'adopt open',
  ]);
  t.is(historyOf(...silence, 'failed').at(-1), 'fail lost');
});

test('data on the connection in use keeps it', t => {
  const silent = ['wanted', 'opened', 'quiet'] as const;
  t.is(historyOf(...silent, 'heard').at(-1), 'open');
  t.is(historyOf(...silent, 'quiet', 'heard').at(-1), 'abandon open');
});

test('replaces a closed connection at once and ignores unexpected events', t => {
  t.is(historyOf('wanted', 'opened', 'broken').at(-1), 'connect replacing');
  t.deepEqual(historyOf('quiet', 'broken', 'opened'), ['idle', 'idle', 'idle']);
});
