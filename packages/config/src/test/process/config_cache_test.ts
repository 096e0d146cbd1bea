import test from 'ava';
import {configFleet} from '../fakes/config_fleet.js';

test('loads at start and follows the head', async t => {
  const {store, newCache} = configFleet();
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
  const {store, table, newCache} = configFleet();
  await store.apply('models', 'a', {});
  await store.apply('models', 'b', {});
  table.afterList = async () => {
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
  const {store, goDown, clock, newCache} = configFleet();
  const {cache: first} = newCache();
  await first.start();
  const {cache: second} = newCache({
    ids: () => ['first'],
    ask: async (id, since) => first.delta(since),
  });
  await second.start();
  const accepted = await store.apply('models', 'm', {});
  goDown();
  t.true(accepted.ok);
  if (!accepted.ok) return;
  first.offer([{type: 'put', resource: accepted.value, revision: 1}]);
  await clock.advance(1_000);
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
  const {store, newCache} = configFleet();
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

// A target of another deployment reports a revision that this one never had.
test('forgets a revision that the store does not know', async t => {
  const {store, faults, clock, newCache} = configFleet();
  await store.apply('models', 'a', {});
  const {cache} = newCache();
  await cache.start();
  cache.hint(99);
  await clock.advance(10_000);
  const {reads} = faults.counts;
  await clock.advance(10_000);
  t.is(faults.counts.reads, reads);
  t.is(cache.current().revision, 1);
  cache[Symbol.dispose]();
});

test('reads everything when the log no longer reaches back', async t => {
  const {store, newCache} = configFleet(3);
  const {cache} = newCache();
  await cache.start();
  for (const name of ['a', 'b', 'c', 'd', 'e']) {
    await store.apply('models', name, {});
  }
  t.true(await cache.refresh());
  t.is(cache.current().resources.length, 5);
  t.is(cache.recentSince(2), undefined);
  cache[Symbol.dispose]();
});
