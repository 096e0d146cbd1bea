import test from 'ava';
import {
  initialConnection,
  stepConnection,
} from '../../lib/connection/connection_machine.js';
import type {ConnectionEvent} from '../../lib/connection/connection_machine.js';

/** The actions and states of a history, such as `connect connecting`. */
function historyOf(...events: readonly ConnectionEvent['type'][]): string[] {
  let snapshot = initialConnection();
  return events.map(type => {
    const step = stepConnection(snapshot, {type});
    snapshot = step.snapshot;
    return [...step.actions, snapshot.value].join(' ');
  });
}

test('opens when wanted, and again after it was lost', t => {
  t.deepEqual(historyOf('wanted', 'failed', 'wanted', 'opened'), [
    'connect connecting',
    'fail lost',
    'connect connecting',
    'adopt open',
  ]);
});

// Requests hang on a connection that something in between has lost track of.
test('silence is probed, then answered by a new connection', t => {
  const silence = ['wanted', 'opened', 'quiet', 'quiet'] as const;
  t.deepEqual(historyOf(...silence, 'opened').slice(2), [
    'probe silent',
    'connect replacing',
    'adopt open',
  ]);
  t.is(historyOf(...silence, 'failed').at(-1), 'fail lost');
});

test('a sign of life keeps the connection', t => {
  const silent = ['wanted', 'opened', 'quiet'] as const;
  t.is(historyOf(...silent, 'heard').at(-1), 'open');
  t.is(historyOf(...silent, 'quiet', 'heard').at(-1), 'abandon open');
});

test('a broken connection is replaced at once; what means nothing is ignored', t => {
  t.is(historyOf('wanted', 'opened', 'broken').at(-1), 'connect replacing');
  t.deepEqual(historyOf('quiet', 'broken', 'opened'), ['idle', 'idle', 'idle']);
});
