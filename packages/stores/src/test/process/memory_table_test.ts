import test from 'ava';
import {MemoryTable} from '../../lib/process/memory_table.js';

const PAGE = 1000;

test('a row that is created again never reuses a version', async t => {
  const table = new MemoryTable();
  const put = {kind: 'put', key: 'a', value: 1} as const;
  const first = await table.write({checks: [], writes: [put]});
  await table.write({checks: [], writes: [{kind: 'delete', key: 'a'}]});
  const check = {key: 'a', version: first.ok ? first.value.versions['a']! : -1};
  await table.write({checks: [], writes: [put]});
  const stale = await table.write({checks: [check], writes: [put]});
  t.like(stale, {ok: false, err: {kind: 'conflict', key: 'a', version: 2}});
});

test('stores a copy that later changes by the writer do not affect', async t => {
  const table = new MemoryTable();
  const value = {items: [1]};
  const writes = [{kind: 'put', key: 'a', value}] as const;
  await table.write({checks: [], writes});
  value.items.push(2);
  t.like(await table.read(['a']), {value: [{value: {items: [1]}}]});
});

test('lists pages in key order, with at most 1,000 rows each', async t => {
  const table = new MemoryTable();
  const keys = [...Array(PAGE + 1).keys()].map(i => `r/${10 * PAGE + i}`);
  const writes = [...keys, 'q/1', 's/1']
    .reverse()
    .map(key => ({kind: 'put', key, value: null}) as const);
  await table.write({checks: [], writes});
  const page = await table.list('r/', {limit: 2 * PAGE});
  const first = page.ok ? page.value.map(row => row.key) : [];
  t.deepEqual(first, keys.slice(0, PAGE));
  const rest = await table.list('r/', {after: first.at(-1)!});
  t.like(rest, {value: {length: 1, 0: {key: keys.at(-1)}}});
});
