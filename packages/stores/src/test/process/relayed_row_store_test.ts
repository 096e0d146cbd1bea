import {
  failure,
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  success,
  SYSTEM_CLOCK,
} from '@oathead/core';
import test from 'ava';
import {
  RelayedRowStore,
  type RowStoreRelay,
} from '../../lib/process/relayed_row_store.js';
import type {
  RowChanges,
  RowStore,
  RowStoreError,
} from '../../lib/process/row_store.js';

const NOTHING: RowChanges = {changes: [], version: 1, storeTimeMs: 1};
const SILENT: RowStoreError = {kind: 'unknown', message: 'silent'};
const REFUSED: RowStoreError = {kind: 'refused', message: 'no way'};

/** A way to the store that counts its calls and answers as it is told to. */
class Way {
  calls = 0;
  err: RowStoreError | undefined;

  async changes() {
    this.calls++;
    return this.err ? failure(this.err) : success(NOTHING);
  }

  read = this.changes;
  transact = this.changes;
}

function newStore(direct: Way, relays: readonly Way[]) {
  return new RelayedRowStore(direct as unknown as RowStore, {
    clock: SYSTEM_CLOCK,
    random: seededRandom(1),
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    relays: () => relays as unknown as readonly RowStoreRelay[],
    probe: {table: 't', partition: ''},
  });
}

// A host without a way of its own asks one that has none either, and waits for two
// timeouts in turn: longer than it may admit callers by key without an answer.
test('a host that is relayed itself says so at once', async t => {
  const direct = new Way();
  const store = newStore(direct, [new Way()]);
  t.true((await store.forPeers.changes('t', 0, 0)).ok);
  direct.err = SILENT;
  t.true((await store.changes('t', 0, 0)).ok);
  const {calls} = direct;
  const answer = await store.forPeers.changes('t', 0, 0);
  t.is(answer.ok ? 'ok' : answer.err.kind, 'refused');
  t.is(direct.calls, calls);
});

// The same, with many of the hosts cut off: the next one is asked, and who answered
// last is asked first.
test('a relay that refuses is not the last one asked', async t => {
  const direct = new Way();
  direct.err = SILENT;
  const relays = [...Array(6).keys()].map(() => new Way());
  for (const relay of relays.slice(1)) relay.err = REFUSED;
  const store = newStore(direct, relays);
  for (let i = 0; i < 20 && relays[0]!.calls === 0; i++)
    await store.changes('t', 0, 0);
  t.is(relays[0]!.calls, 1);
  const before = direct.calls;
  for (let i = 0; i < 5; i++) t.true((await store.changes('t', 0, 0)).ok);
  t.is(relays[0]!.calls, 6);
  t.is(direct.calls, before);
});
