import {
  failure,
  NO_COUNTERS,
  NO_EVENT_LOG,
  seededRandom,
  success,
  SYSTEM_CLOCK,
  type Clock,
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

const NO_CHANGES: RowChanges = {changes: [], version: 1, storeTimeMs: 1};
const TIMED_OUT: RowStoreError = {kind: 'unknown', message: 'silent'};
const REFUSED: RowStoreError = {kind: 'refused', message: 'store unreachable'};

/** A store or relay that counts its calls and fails with `err` if it is set. */
class FakeStore {
  calls = 0;
  err: RowStoreError | undefined;

  async changes() {
    this.calls++;
    return this.err ? failure(this.err) : success(NO_CHANGES);
  }

  read = this.changes;
  transact = this.changes;

  /** No response has ever told this host the time of the store. */
  storeTimeMs(): number | undefined {
    return undefined;
  }
}

function newStore(
  direct: FakeStore,
  relays: readonly FakeStore[],
  clock: Clock = SYSTEM_CLOCK,
) {
  return new RelayedRowStore(direct as unknown as RowStore, {
    clock,
    random: seededRandom(1),
    log: NO_EVENT_LOG,
    counters: NO_COUNTERS,
    relays: () => relays as unknown as readonly RowStoreRelay[],
    probe: {table: 't', partition: ''},
  });
}

// A host that cannot reach the store asks a relay that cannot reach it either and
// waits for two timeouts in sequence. That is longer than the host may admit
// callers by API key without a response from the store.
test('a host that depends on relays refuses to relay at once', async t => {
  const direct = new FakeStore();
  const store = newStore(direct, [new FakeStore()]);
  t.true((await store.relayForPeers.changes('t', 0, 0)).ok);
  direct.err = TIMED_OUT;
  t.true((await store.changes('t', 0, 0)).ok);
  const {calls} = direct;
  const result = await store.relayForPeers.changes('t', 0, 0);
  t.is(result.ok ? 'ok' : result.err.kind, 'refused');
  t.is(direct.calls, calls);
});

// Many of the hosts are partitioned from the store, and calls fail although one
// relay can reach it. After a refusal the next relay must be tried, and the relay
// that last succeeded must be tried first.
test('another relay is tried after one refuses', async t => {
  const direct = new FakeStore();
  direct.err = TIMED_OUT;
  const relays = [...Array(6).keys()].map(() => new FakeStore());
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

// A host that started without a way to the store of its own refused all jobs as
// long as it had none, although its relays reached the store: only direct
// responses told it the store's time.
test('relayed responses tell the time of the store', async t => {
  const direct = new FakeStore();
  direct.err = TIMED_OUT;
  const store = newStore(direct, [new FakeStore()]);
  t.is(store.storeTimeMs(), undefined);
  t.true((await store.changes('t', 0, 0)).ok);
  t.true((store.storeTimeMs() ?? 0) >= NO_CHANGES.storeTimeMs);
});

// Guards against items that are given up too early after days: the clock of a
// host runs ahead a little, and each response set the estimate forward only.
test('the estimated time of the store does not drift ahead of it', async t => {
  let storeMs = 0;
  let hostMs = 0;
  const pass = (ms: number) => {
    storeMs += ms;
    hostMs += 1.001 * ms;
  };
  const direct = new FakeStore();
  const respond = async () => {
    pass(5);
    const storeTimeMs = storeMs;
    pass(5);
    return success({...NO_CHANGES, storeTimeMs});
  };
  const store = newStore(Object.assign(direct, {transact: respond}), [], {
    ...SYSTEM_CLOCK,
    now: () => hostMs,
  });
  for (let i = 0; i < 1000; i++) {
    pass(1000);
    await store.transact({expect: [], puts: [], removes: []});
    const aheadMs = store.storeTimeMs()! - storeMs;
    t.true(aheadMs <= 10 && aheadMs >= -10, `${aheadMs} ms after ${i} s`);
  }
});
