import test from 'ava';
import {MemoryPlatform, type Transaction} from '@oathead/stores';
import {faultyPlatform} from '../../lib/process/faulty_platform.js';
import {StoreFaults, type StoreRates} from '../../lib/process/store_faults.js';
import {VirtualClock} from '../../lib/process/virtual_clock.js';

function put(...keys: readonly string[]): Transaction {
  const writes = keys.map(key => ({kind: 'put', key, value: 1}) as const);
  return {checks: [], writes};
}

function create(rates?: Partial<StoreRates>) {
  const clock = new VirtualClock();
  const faults = new StoreFaults(clock, rates);
  const memory = new MemoryPlatform();
  return {clock, faults, memory, platform: faultyPlatform(memory, faults)};
}

async function isThere(memory: MemoryPlatform, key: string): Promise<boolean> {
  const rows = await memory.table.read([key]);
  return rows.ok && rows.value[0] !== undefined;
}

test('each fault tells the caller what a real one would', async t => {
  const {clock, faults, memory, platform} = create();
  const write = async (key: string, settled = true) => {
    const result = await platform.table.write(put(key));
    t.is(await isThere(memory, key), settled, key);
    return result;
  };
  const down = faults.add({fault: {kind: 'down'}});
  t.like(await write('a', false), {err: {applied: 'no'}});
  t.like(await platform.table.read(['a']), {err: {kind: 'unavailable'}});
  down[Symbol.dispose]();
  faults.add({fault: {kind: 'answer-lost'}, times: 1});
  t.like(await write('b'), {err: {applied: 'unknown'}});
  faults.add({fault: {kind: 'request-lost'}, times: 1});
  t.like(await write('c', false), {err: {applied: 'unknown'}});
  faults.add({fault: {kind: 'lands-late', delayMs: 100}, times: 1});
  t.like(await write('d', false), {err: {applied: 'unknown'}});
  await clock.advance(100);
  t.true(await isThere(memory, 'd'));
  faults.add({fault: {kind: 'throttled', retryAfterMs: 9}, times: 1});
  t.like(await write('e', false), {err: {retryAfterMs: 9}});
  t.like(await write('f'), {ok: true});
});

test('slow calls take their time', async t => {
  const {clock, faults, platform} = create();
  faults.add({fault: {kind: 'slow', delayMs: 700}});
  t.like(await clock.until(platform.objects.get('x')), {ok: true});
  t.is(clock.now(), 700);
});

test('hits only the calls that a rule is for', async t => {
  const {faults, platform} = create();
  faults.add({
    fault: {kind: 'down'},
    matches: call => call.method === 'write' && call.keys.includes('b'),
    from: 2,
    times: 1,
  });
  const results = [];
  for (const key of ['b', 'a', 'b', 'b'])
    results.push((await platform.table.write(put(key))).ok);
  t.deepEqual(results, [true, true, false, true]);
  t.true((await platform.weights.describe('w')).ok);
});

test('counts what was asked', async t => {
  const {faults, platform} = create();
  await platform.table.write(put('a', 'b'));
  await platform.table.read(['a', 'b', 'c']);
  await platform.table.list('a');
  await platform.objects.put('o', new Uint8Array(1));
  await platform.hosts.hosts();
  t.deepEqual(faults.counts, {
    reads: 3,
    rowsRead: 3,
    writes: 2,
    transactions: 1,
    rowsWritten: 2,
    objectsWritten: 1,
  });
});

test('throttles above the rate and says when to come back', async t => {
  const {clock, platform} = create({writesPerSecond: 10, readsPerSecond: 100});
  for (let i = 0; i < 5; i++) await platform.table.write(put('a', 'b'));
  const over = await platform.table.write(put('a', 'b'));
  t.like(over, {err: {kind: 'throttled', retryAfterMs: 200}});
  t.true((await platform.table.read(['a'])).ok);
  await clock.advance(200);
  t.true((await platform.table.write(put('a', 'b'))).ok);
});
