/** What every implementation of the platform must do. */
import type {Platform, Transaction} from '@oathead/stores';
import type {ExecutionContext} from 'ava';

/** One demand on a platform. */
export type Demand = (t: ExecutionContext, platform: Platform) => Promise<void>;

function put(key: string, value: object = {}): Transaction['writes'][number] {
  return {kind: 'put', key, value: {...value}};
}

/** All demands, by what they ask for. */
export const DEMANDS: Readonly<Record<string, Demand>> = {
  ['reads rows in the order of the keys']: async (t, {table}) => {
    const written = await table.write({
      checks: [],
      writes: [put('a', {n: 1}), put('b', {n: [null, 'ü']})],
    });
    const versions = written.ok ? written.value.versions : {};
    t.deepEqual(await table.read(['b', 'missing', 'a']), {
      ok: true,
      value: [
        {key: 'b', value: {n: [null, 'ü']}, version: versions['b']!},
        undefined,
        {key: 'a', value: {n: 1}, version: versions['a']!},
      ],
    });
  },

  ['writes all of a transaction or nothing']: async (t, {table}) => {
    const first = await table.write({checks: [], writes: [put('a')]});
    const version = first.ok ? first.value.versions['a']! : -1;
    const refused = await table.write({
      checks: [
        {key: 'a', version},
        {key: 'b', version: 7},
      ],
      writes: [put('a', {changed: true}), {kind: 'delete', key: 'a'}],
    });
    t.deepEqual(refused, {
      ok: false,
      err: {kind: 'conflict', key: 'b', version: 0},
    });
    t.like(await table.read(['a']), {value: [{value: {}, version}]});
  },

  ['checks that a row does not exist']: async (t, {table}) => {
    const create = {checks: [{key: 'a', version: 0}], writes: [put('a')]};
    t.true((await table.write(create)).ok);
    t.like(await table.write(create), {err: {kind: 'conflict', key: 'a'}});
  },

  ['never gives a version twice']: async (t, {table}) => {
    const versions = new Set<number>();
    for (let i = 0; i < 3; i++) {
      const result = await table.write({checks: [], writes: [put('a')]});
      versions.add(result.ok ? result.value.versions['a']! : 0);
      const gone = {kind: 'delete', key: 'a'} as const;
      await table.write({checks: [], writes: [gone]});
    }
    t.is(versions.size, 3);
    t.false(versions.has(0));
  },

  ['lists by prefix, in order and in pages']: async (t, {table}) => {
    const keys = ['p/2', 'q/1', 'p/10', 'o', 'p/1', 'p'];
    await table.write({checks: [], writes: keys.map(key => put(key))});
    const page = async (after?: string) => {
      const result = await table.list('p/', {after, limit: 2});
      return result.ok ? result.value.map(row => row.key) : [];
    };
    t.deepEqual(await page(), ['p/1', 'p/10']);
    t.deepEqual(await page('p/10'), ['p/2']);
    t.deepEqual(await page('p/2'), []);
  },

  ['keeps objects byte for byte']: async (t, {objects}) => {
    const key = 'results/job 1/ü?#.jsonl';
    const bytes = new Uint8Array([0, 255, 10, 13]);
    t.like(await objects.get(key), {ok: true, value: undefined});
    t.true((await objects.put(key, bytes)).ok);
    const read = await objects.get(key);
    t.deepEqual(read.ok && [...read.value!], [...bytes]);
    t.true((await objects.delete(key)).ok);
    t.true((await objects.delete(key)).ok);
    t.like(await objects.get(key), {ok: true, value: undefined});
  },

  ['tells of weights and hosts']: async (t, {weights, hosts}) => {
    t.like(await weights.describe('w/1'), {value: {name: 'w/1', bytes: 5}});
    t.like(await weights.describe('none'), {ok: true, value: undefined});
    t.like(await weights.concurrentLoads(), {value: 3});
    t.like(await hosts.hosts(), {value: [{id: 'h1', state: 'leaving'}]});
  },
};
