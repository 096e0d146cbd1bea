import {setTimeout} from 'node:timers/promises';
import {NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {TargetDirectory} from '../../lib/process/target_directory.js';

const TARGET = {
  id: 't',
  service: 's',
  address: '',
  dataCentre: 'a',
  slots: 8,
  leaving: false,
};

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
