import {NO_COUNTERS, seededRandom} from '@oathead/core';
import test from 'ava';
import {ConfigCache} from '../../lib/process/config_cache.js';
import type {ConfigPeers} from '../../lib/process/config_cache.js';
import {ConfigStore} from '../../lib/process/config_store.js';
import {FakeHead, HEAD_ROW} from '../fakes/fake_head.js';
import {FakeTable} from '../fakes/fake_table.js';
import {virtualClock} from '../fakes/virtual_clock.js';

const NO_PEERS: ConfigPeers = {ids: () => [], ask: async () => undefined};

function setUp() {
  const table = new FakeTable();
  const clock = virtualClock();
  const common = {
    store: table,
    headRow: HEAD_ROW,
    clock,
    random: seededRandom(1),
    counters: NO_COUNTERS,
  };
  const store = new ConfigStore(common);
  const newCache = (peers = NO_PEERS) => {
    const head = new FakeHead(table);
    return {head, cache: new ConfigCache({...common, head, peers})};
  };
  return {table, clock, store, newCache};
}

test('loads at start and follows the head', async t => {
  const {store, newCache} = setUp();
  await store.apply('models', 'm', {});
  const {cache, head} = newCache();
  await cache.start();
  t.is(cache.current().revision, 1);
  const seen: number[] = [];
  cache.onChange(({revision}) => seen.push(revision));
  await store.apply('models', 'n', {});
  await store.delete('models', 'm');
  await head.poll();
  await cache.refresh();
  t.deepEqual(seen, [3]);
  t.deepEqual(
    cache.current().resources.map(({name}) => name),
    ['n'],
  );
  cache[Symbol.dispose]();
});

// Changes go on while a starting entry reads the pages of a large
// configuration. Without care it would mix old and new rows.
test('a load during changes is exact', async t => {
  const {store, table, newCache} = setUp();
  await store.apply('models', 'a', {});
  await store.apply('models', 'b', {});
  table.afterList = async () => {
    table.afterList = undefined;
    await store.delete('models', 'a');
    await store.apply('models', 'c', {});
  };
  const {cache} = newCache();
  await cache.start();
  const {revision, resources} = cache.current();
  t.is(revision, 4);
  t.deepEqual(
    resources.map(({name}) => name),
    ['b', 'c'],
  );
  cache[Symbol.dispose]();
});

// The store goes down just after a change was accepted at one entry. The
// others have not read it and would keep the old one until the store returns.
test('a change accepted before an outage reaches others from peers', async t => {
  const {store, table, clock, newCache} = setUp();
  const {cache: first} = newCache();
  await first.start();
  const {cache: second} = newCache({
    ids: () => ['first'],
    ask: async (id, since) => first.delta(since),
  });
  await second.start();
  const accepted = await store.apply('models', 'm', {});
  table.down = true;
  t.true(accepted.ok);
  if (!accepted.ok) return;
  first.offer([{type: 'put', resource: accepted.value, revision: 1}]);
  await clock.pass(1_000);
  t.is(second.current().revision, 1);
  const {cache: restarted} = newCache({
    ids: () => ['first'],
    ask: async (id, since) => first.delta(since),
  });
  await restarted.start();
  t.true(restarted.ready);
  t.is(restarted.current().get('models', 'm')?.resourceVersion, 1);
});

// An entry that was cut off for long answers a peer with what it last knew.
test('never adopts an older revision, nor one with a gap before it', async t => {
  const {store, newCache} = setUp();
  await store.apply('models', 'a', {});
  await store.apply('models', 'b', {});
  const {cache} = newCache();
  await cache.start();
  const resource = cache.current().get('models', 'a')!;
  cache.offer([{type: 'delete', resource, revision: 1}]);
  cache.offer([{type: 'delete', resource, revision: 4}]);
  t.is(cache.current().revision, 2);
  t.is(cache.current().resources.length, 2);
  cache[Symbol.dispose]();
});
