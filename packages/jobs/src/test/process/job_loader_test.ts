import {success, SYSTEM_CLOCK} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {JobLoader} from '../../lib/process/job_loader.js';
import type {ItemResult} from '../../lib/request/job.js';
import type {JobReader} from '../../lib/request/job_reader.js';
import {OPEN_JOB} from '../fakes/ownership_fleet.js';

const ITEMS = ['a', 'b', 'c'].map(id => ({
  id,
  path: '/',
  headers: {},
  body: new Uint8Array(),
  tokens: 1,
}));
const RESULTS: readonly ItemResult[] = ['a', 'b'].map(id => ({
  id,
  state: 'succeeded',
  text: '',
}));

// Guards against an item that is listed twice: the results were read from a
// response that was older than the head, so that the new owner ran an item that
// had a result.
for (const read of [0, 1, 2])
  test(`a job with two results of which ${read} are read`, async t => {
    const reader = {
      items: async () => success(ITEMS),
      allResults: async () => success(RESULTS.slice(0, read)),
    } as unknown as JobReader;
    const store = new MemoryRowStore(SYSTEM_CLOCK);
    const loader = new JobLoader({store, reader}, 'me', () => undefined);
    const head = {...OPEN_JOB, owner: 'me', items: ITEMS.length, listed: 2};
    const loaded = await loader.load({head, version: 3}, false);
    t.false(loader.isLoading(head.id));
    const left = loaded.ok
      ? loaded.value.work.map(({item: {id}}) => id)
      : loaded.err.kind;
    t.deepEqual(left, read < head.listed ? 'unsure' : ['c']);
  });
