import {setTimeout} from 'node:timers/promises';
import {NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {newIncarnation, newTarget} from '../fakes/targets.js';

const TARGET = newTarget('t');

function directory() {
  return new TargetDirectory({clock: SYSTEM_CLOCK, log: NO_EVENT_LOG});
}

test('a removed target gets no more requests', t => {
  const targets = directory();
  targets.put(TARGET);
  targets.remove('t', 0);
  t.deepEqual(targets.ofService('s'), []);
});

// All requests fail after an outage of the store: live targets could not renew
// their entries, which have expired, and are considered gone. Their entries are
// back within two seconds.
test('a target whose entry expired in an outage is kept until it is back', async t => {
  const targets = directory();
  targets.put(TARGET);
  targets.remove('t', 30);
  t.is(targets.ofService('s').length, 1);
  targets.put(TARGET);
  await setTimeout(60);
  t.is(targets.ofService('s').length, 1);

  targets.remove('t', 30);
  await setTimeout(60);
  t.is(targets.ofService('s').length, 0);
});

// Requests are sent based on the state of a server that no longer exists: it
// crashed and came back under the same ID at another address, with no state
// left.
test('a restarted server is another target', t => {
  const targets = directory();
  const removed: string[] = [];
  targets.onRemoved(id => removed.push(id));
  const before = newIncarnation('i-1', 1000, {address: '1.2.3.4:5'});
  const now = newIncarnation('i-1', 2000, {address: '1.2.3.9:5'});
  targets.put(before);
  targets.put(now);
  t.deepEqual(removed, [before.id]);
  t.deepEqual(targets.ofService('s'), [now]);
});

// A live server gets no requests, or requests are sent to its former address:
// the store applies the last write of the previous incarnation seconds late,
// after the entry of the live one.
test('a late entry of an earlier incarnation is ignored', t => {
  const targets = directory();
  const now = newIncarnation('i-1', 2000);
  targets.put(now);
  targets.put(newIncarnation('i-1', 1000, {leaving: true}));
  t.deepEqual(targets.ofService('s'), [now]);
  targets.remove('i-1', 0);
  targets.put(newIncarnation('i-1', 1000));
  t.deepEqual(targets.ofService('s'), []);
  targets.put(now);
  t.deepEqual(targets.ofService('s'), [now]);
});

// A server crashes while the store is unavailable and is back under its ID
// while its expired entry is still retained. The previous incarnation is
// removed at once.
test('a server that restarts while its expired entry is kept is a new target', async t => {
  const targets = directory();
  targets.put(newIncarnation('i-1', 1000));
  targets.remove('i-1', 30);
  const now = newIncarnation('i-1', 2000);
  targets.put(now);
  await setTimeout(60);
  t.deepEqual(targets.ofService('s'), [now]);
});

// A request of one service is sent to another: a server comes back under its ID
// and provides another service.
test('a server that restarts with another service leaves the first one', t => {
  const targets = directory();
  targets.put(newIncarnation('i-1', 1000));
  targets.put(newIncarnation('i-1', 2000, {service: 'other'}));
  t.deepEqual(targets.ofService('s'), []);
  t.is(targets.ofService('other').length, 1);
});
