import test from 'ava';
import type {EventFields} from '@oathead/core';
import {encodeJson, MemoryRowStore} from '@oathead/stores';
import {
  AHEAD_TABLE,
  StoredAheadRecord,
} from '../../lib/process/ahead_record.js';
import {FakeClock} from '../fakes/fake_clock.js';

function setUp() {
  const clock = new FakeClock();
  const store = new MemoryRowStore(clock);
  const lines: EventFields[] = [];
  const log = {
    event: (event: string, fields: EventFields) =>
      void lines.push({event, ...fields}),
  };
  const record = new StoredAheadRecord(store, log);
  return {clock, store, record, lines};
}

test('a mark is read until after its end', async t => {
  const {clock, record} = setUp();
  t.is(await record.mark('account'), 3000);
  clock.advance(2000);
  t.deepEqual(await record.read(), new Map([['account', 1000]]));
  clock.advance(2000);
  t.deepEqual(await record.read(), new Map([['account', -1000]]));
});

// The store may answer late; a mark counts from before the call.
test('a mark that was written late holds for a shorter time', async t => {
  const {clock, store, record} = setUp();
  const transact = store.transact.bind(store);
  store.transact = transaction => {
    clock.advance(2500);
    return transact(transaction);
  };
  t.is(await record.mark('account'), 500);
  store.transact = transaction => {
    clock.advance(5000);
    return transact(transaction);
  };
  t.is(await record.mark('account'), 0);
});

// A row that cannot be read may be a mark; to pass over it would grant a second
// window.
test('a row of an unknown form counts as a mark', async t => {
  const {store, record, lines} = setUp();
  const row = {table: AHEAD_TABLE, partition: '', key: 'account'};
  const puts = [{...row, value: encodeJson({until: 'never'})}];
  await store.transact({expect: [], puts, removes: []});
  t.deepEqual(await record.read(), new Map([['account', 3000]]));
  t.like(lines[0], {event: 'quota-mark-unreadable', account: 'account'});
});

test('more marks than fit on a page are read', async t => {
  const {record} = setUp();
  for (let i = 0; i < 501; i++) await record.mark(`account${i}`);
  t.is((await record.read())?.size, 501);
});

// Each account that ever went ahead would stay in the table.
test('a mark that ended long ago is removed', async t => {
  const {clock, record} = setUp();
  await record.mark('old');
  clock.advance(70_000);
  await record.mark('new');
  await record.read();
  t.deepEqual(await record.read(), new Map([['new', 3000]]));
});
