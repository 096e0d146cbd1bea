import {SYSTEM_CLOCK} from '@oathead/core';
import {encodeJson, MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import type {ItemResult} from '../../lib/request/job.js';
import {JobReader} from '../../lib/request/job_reader.js';
import {
  headRef,
  jobRowRef,
  RESULT_TABLE,
  type JobHead,
} from '../../lib/request/job_rows.js';

/** Limit of the batch interface for the results of a response, in bytes. */
const MAX_RESPONSE_BYTES = 1_000_000;
const RESULTS = 40;
const TEXT_LENGTH = 30_000;
/** Characters that take one, three and six bytes in a JSON string. */
const CHARACTERS = ['a', '\u8a9e', '\u0001'];

function headOf(items: number): JobHead {
  return {
    id: 'j',
    hostName: 'h',
    items,
    acceptedAtMs: 0,
    completionGoalMs: 1,
    retentionMs: 1,
    maxAttempts: 1,
    owner: 'me',
    state: 'done',
    listed: items,
    failures: {},
    nonce: 'first',
    content: {kind: 'rows', pieces: 1},
  };
}

async function storeWith(results: readonly ItemResult[]) {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  const head = {...headRef('j'), value: encodeJson(headOf(results.length))};
  const rows = results.map((result, i) => ({
    ...jobRowRef(RESULT_TABLE, 'j', i),
    value: encodeJson({kind: 'here', ...result}),
  }));
  await store.transact({expect: [], puts: [head, ...rows], removes: []});
  return store;
}

// Guards against a response that is larger than callers accept: the limit was
// compared with characters, of which some take several bytes.
for (const character of CHARACTERS)
  test(`pages of ${JSON.stringify(character)} stay below the limit in bytes`, async t => {
    const results = [...Array(RESULTS).keys()].map(i => ({
      id: `i-${i}`,
      state: 'succeeded' as const,
      text: character.repeat(TEXT_LENGTH),
    }));
    const reader = new JobReader(await storeWith(results));
    const read: ItemResult[] = [];
    while (read.length < RESULTS) {
      const page = await reader.results('j', read.length);
      if (!page.ok) return t.fail(page.err.kind);
      t.true(page.value.results.length > 0);
      t.true(encodeJson(page.value.results).length < MAX_RESPONSE_BYTES);
      t.is(page.value.total, RESULTS);
      read.push(...page.value.results);
      t.is(page.value.next, read.length);
    }
    t.deepEqual(
      read.map(({id, text}) => ({id, text})),
      results.map(({id, text}) => ({id, text})),
    );
  });
