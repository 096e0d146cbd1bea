import {SYSTEM_CLOCK} from '@oathead/core';
import {MemoryRowStore, type RowQuery} from '@oathead/stores';
import test from 'ava';
import {loadContent, splitContent} from '../../lib/request/job_content.js';
import type {JobHead} from '../../lib/request/job_rows.js';

const LIMITS = {
  rowBytes: 256,
  transactionBytes: 64 * 1024,
  objectBytes: 64 * 1024,
  acrossPartitions: true,
};
const ITEMS = [...Array(20).keys()].map(i => ({
  id: `i-${i}`,
  path: '/',
  headers: {},
  body: Buffer.alloc(100, i),
  tokens: 1,
}));

/** Returns few rows per page, as a store whose pages are limited by size. */
class SmallPageStore extends MemoryRowStore {
  constructor(private readonly pageRows: number) {
    super(SYSTEM_CLOCK);
  }

  override read(query: RowQuery) {
    return super.read({...query, limit: this.pageRows});
  }
}

// Guards against a job that can never be run: the store returned its content in
// several pages, and only the first one was read.
for (const pageRows of [1, 2, 500])
  test(`content is read whole in pages of ${pageRows} rows`, async t => {
    const store = new SmallPageStore(pageRows);
    const {content, puts} = splitContent('j', ITEMS, LIMITS);
    t.true(content.kind === 'rows' && content.pieces > 2);
    await store.transact({expect: [], puts, removes: []});
    const head = {id: 'j', content} as JobHead;
    const items = await loadContent(store, head);
    t.deepEqual(
      items.ok ? items.value.map(({id}) => id) : items.err,
      ITEMS.map(({id}) => id),
    );
  });
