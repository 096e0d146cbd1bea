import {NO_EVENT_LOG, SYSTEM_CLOCK} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {
  CrashSuspects,
  SUSPECT_TABLE,
} from '../../lib/process/crash_suspects.js';

function newSuspects() {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  return new CrashSuspects({store, clock: SYSTEM_CLOCK, log: NO_EVENT_LOG});
}

function heardOf(print: string, targets: readonly string[]) {
  const value = Buffer.from(JSON.stringify({targets, at: Date.now()}));
  const row = {
    table: SUSPECT_TABLE,
    partition: '',
    key: print,
    value,
    version: 1,
  };
  return {put: [row], removed: [], storeTimeMs: 0};
}

// One request takes down server after server, each of which is back under the id
// it had: every run of a server counts.
test('runs of one server that crashed are counted each', t => {
  const suspects = newSuspects();
  for (const id of ['i-1@1', 'i-1@2']) suspects.broke('p', id);
  t.false(suspects.isBlocked('p'));
  suspects.broke('p', 'i-1@3');
  t.true(suspects.isBlocked('p'));
});

// Two hosts saw the same request crash different targets and wrote it down at the
// same time: neither may take away what the other knows.
test('what two hosts know of a request adds up', t => {
  const suspects = newSuspects();
  suspects.broke('p', 'a');
  suspects.update(heardOf('p', ['a', 'b']));
  t.false(suspects.isBlocked('p'));
  suspects.update(heardOf('p', ['c']));
  t.true(suspects.isBlocked('p'));
});
