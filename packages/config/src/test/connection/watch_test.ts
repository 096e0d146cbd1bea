import test from 'ava';
import {Watch} from '../../lib/connection/watch.js';
import type {WatchEvent} from '../../lib/connection/watch.js';
import {watchFrame} from '../../lib/connection/watch_frame.js';
import {configFleet, refusalOf, valueOf} from '../fakes/config_fleet.js';

function label(event: WatchEvent): string {
  if (event.type === 'gone') return 'gone';
  return `${event.revision} ${event.type} ${event.resource.name}`;
}

/** Takes events until there are `count`, or no more. */
async function take(
  events: AsyncIterable<WatchEvent>,
  count: number,
): Promise<readonly string[]> {
  const seen: string[] = [];
  for await (const event of events) {
    seen.push(label(event));
    if (seen.length === count) break;
  }
  return seen;
}

async function setUp(logLength?: number) {
  const fleet = configFleet(logLength);
  const {cache, head} = fleet.newCache();
  await cache.start();
  const stop = new AbortController();
  const watch = new Watch(cache, fleet.clock);
  return {...fleet, cache, head, watch, stop};
}

test('tells every change once, in order, and filters by kind', async t => {
  const {store, head, watch, stop} = await setUp();
  const all = valueOf(await watch.open({}, stop.signal));
  const some = valueOf(await watch.open({kind: 'versions'}, stop.signal));
  const taken = Promise.all([take(all, 3), take(some, 1)]);
  await store.apply('models', 'm', {});
  await head.poll();
  await store.apply('versions', 'm-1', {model: 'm', weights: 'w'});
  await store.delete('versions', 'm-1');
  await head.poll();
  t.deepEqual(await taken, [
    ['1 put m', '2 put m-1', '3 delete m-1'],
    ['2 put m-1'],
  ]);
});

// A watcher's connection is cut and its balancer leads it to an entry that
// started later, or is behind. It must miss nothing and see nothing twice.
test('resumes at another entry, also one that is behind', async t => {
  const {store, newCache, clock, goDown, stop} = await setUp();
  for (const name of ['a', 'b', 'c']) await store.apply('models', name, {});
  const {cache: late} = newCache();
  await late.start();
  const lateWatch = new Watch(late, clock);
  const resumed = valueOf(await lateWatch.open({since: 1}, stop.signal));
  t.deepEqual(await take(resumed, 2), ['2 put b', '3 put c']);

  await store.apply('models', 'd', {});
  const outage = goDown();
  const ahead = valueOf(await lateWatch.open({since: 4}, stop.signal));
  const taken = take(ahead, 1);
  outage[Symbol.dispose]();
  await store.apply('models', 'e', {});
  await late.refresh();
  t.deepEqual(await taken, ['5 put e']);
});

test('a revision that is too old, or unknown, is gone', async t => {
  const {store, head, watch, stop} = await setUp(3);
  const slow = valueOf(await watch.open({}, stop.signal));
  for (let maxOnline = 1; maxOnline <= 5; maxOnline++) {
    await store.apply('models', 'm', {maxOnline});
  }
  t.is(refusalOf(await watch.open({since: 1}, stop.signal)).kind, 'gone');
  t.is(refusalOf(await watch.open({since: 9}, stop.signal)).kind, 'gone');
  await head.poll();
  t.deepEqual(await take(slow, 9), ['gone']);
});

test('ends when it is aborted', async t => {
  const {watch, stop} = await setUp();
  const events = valueOf(await watch.open({}, stop.signal));
  const taken = take(events, 1);
  stop.abort();
  t.deepEqual(await taken, []);
});

test('an event travels with its revision as id', t => {
  const resource = {
    kind: 'models',
    name: 'm',
    resourceVersion: 7,
    spec: {} as never,
  } as const;
  t.is(
    watchFrame({type: 'put', revision: 7, resource}),
    `id: 7\nevent: put\ndata: ${JSON.stringify({type: 'put', revision: 7, resource})}\n\n`,
  );
});
