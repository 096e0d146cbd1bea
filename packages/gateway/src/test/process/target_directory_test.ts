import {setTimeout} from 'node:timers/promises';
import {NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {runOf, targetOf} from '../fakes/targets.js';

const TARGET = targetOf('t');

function directory() {
  return new TargetDirectory({clock: SYSTEM_CLOCK, log: NO_EVENT_LOG});
}

test('a target that is removed gets nothing from then on', t => {
  const targets = directory();
  targets.put(TARGET);
  targets.remove('t', 0);
  t.deepEqual(targets.ofService('s'), []);
});

// All requests fail after an outage of the store: targets could not renew their
// entries, which have lapsed, and are taken for gone although they live. Their
// entries are back within two seconds.
test('a target whose entry lapsed in an outage is kept until it is back', async t => {
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

// Requests are sent with what was learnt of a server that is no more: it crashed
// and is back under the id it had, at another address, and holds nothing.
test('a server that starts again is another target', t => {
  const targets = directory();
  const gone: string[] = [];
  targets.onGone(id => gone.push(id));
  const before = runOf('i-1', 1000, {address: '1.2.3.4:5'});
  const now = runOf('i-1', 2000, {address: '1.2.3.9:5'});
  targets.put(before);
  targets.put(now);
  t.deepEqual(gone, [before.id]);
  t.deepEqual(targets.ofService('s'), [now]);
});

// A live server gets nothing, or is sent to where it was before: what the run
// before wrote last is carried out by the store seconds late, after the entry of
// the run that is alive.
test('an older entry that arrives late changes nothing', t => {
  const targets = directory();
  const now = runOf('i-1', 2000);
  targets.put(now);
  targets.put(runOf('i-1', 1000, {leaving: true}));
  t.deepEqual(targets.ofService('s'), [now]);
  targets.remove('i-1', 0);
  targets.put(runOf('i-1', 1000));
  t.deepEqual(targets.ofService('s'), []);
  targets.put(now);
  t.deepEqual(targets.ofService('s'), [now]);
});

// A server crashes while the store is away and is back under its id when its
// entry has lapsed and is kept for a while: the run before is dropped at once.
test('a server that is back while its lapsed entry is kept is the new run', async t => {
  const targets = directory();
  targets.put(runOf('i-1', 1000));
  targets.remove('i-1', 30);
  const now = runOf('i-1', 2000);
  targets.put(now);
  await setTimeout(60);
  t.deepEqual(targets.ofService('s'), [now]);
});

// A request of one service is sent to another: a server is back under its id and
// serves something else now.
test('a server that is back with another service leaves the first', t => {
  const targets = directory();
  targets.put(runOf('i-1', 1000));
  targets.put(runOf('i-1', 2000, {service: 'other'}));
  t.deepEqual(targets.ofService('s'), []);
  t.is(targets.ofService('other').length, 1);
});
