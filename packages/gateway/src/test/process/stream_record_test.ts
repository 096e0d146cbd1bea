import {failure, NO_EVENT_LOG} from '@oathead/core';
import {
  MemoryRowStore,
  type RowRef,
  type RowStore,
  type RowTransaction,
} from '@oathead/stores';
import test from 'ava';
import {
  RECORD_LIFETIME_MS,
  RecordedStreamsReader,
  type RecordedStreams,
} from '../../lib/process/recorded_streams.js';
import {TAKE_UP_MS} from '../../lib/process/stream_lifetime.js';
import type {StreamOrigin} from '../../lib/connection/stream_version_message.js';
import {StreamRecord} from '../../lib/process/stream_record.js';
import {
  encodeStreamRow,
  streamRowRef,
} from '../../lib/process/stream_record_rows.js';
import {FakeClock} from '../fakes/fake_clock.js';

const MEMBER = 'h0.1';
const V1 = {service: 's', softwareVersion: 'v1'};
const V2 = {service: 's', softwareVersion: 'v2'};
const MAX_WRITES_PER_S = 100;
const STEP_MS = 50;
/** Timeout of the route of the streams, in milliseconds. */
const TIMEOUT_MS = 5000;
/** The same for streams that run for long. */
const LONG_TIMEOUT_MS = 60_000;
const LONG_ID = 'x'.repeat(300);
/** Time in which a host notices that a version does not count any more. */
const CHECK_MS = 1000;
/** What a host may send to the store for its record. */
const MAX_BYTES_PER_S = 5500;
const STREAM_LIFETIME_MS = TIMEOUT_MS + TAKE_UP_MS;
const SWEEP_INTERVAL_MS = 60_000;

type Transact = RowStore['transact'];

/** One host with its record, and a reader at another host. */
class Fixture {
  readonly clock = new FakeClock();
  readonly rows = new MemoryRowStore(this.clock);
  readonly written: RowTransaction[] = [];
  hosts = 1;
  listed = [V1];
  isStoreTimeKnown = true;
  transact: Transact = transaction => this.rows.transact(transaction);
  readonly record = new StreamRecord({
    memberId: MEMBER,
    clock: this.clock,
    log: NO_EVENT_LOG,
    store: {
      transact: transaction => {
        this.written.push(transaction);
        return this.transact(transaction);
      },
      read: query => this.rows.read(query),
      storeTimeMs: () =>
        this.isStoreTimeKnown ? this.rows.storeTimeMs() : undefined,
    },
    maxWritesPerS: MAX_WRITES_PER_S,
    hosts: () => this.hosts,
    listedVersions: () => this.listed,
  });
  private readonly reader = new RecordedStreamsReader({
    clock: this.clock,
    log: NO_EVENT_LOG,
    store: this.rows,
  });

  /** A stream begins. */
  begin(stream: string, origin: StreamOrigin, timeoutMs = TIMEOUT_MS): void {
    this.record.begin(stream, origin, this.clock.now() + timeoutMs);
  }

  async wait(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
    }
  }

  async read(): Promise<RecordedStreams> {
    return this.reader.read();
  }

  async has({table, partition, key}: RowRef): Promise<boolean> {
    const page = await this.rows.read({table, partition});
    return page.ok && page.value.rows.some(row => row.key === key);
  }

  async versions(): Promise<readonly string[]> {
    return [...((await this.read()).versions.get('s') ?? [])];
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 40; turn++) await Promise.resolve();
}

// Guards against streams whose version is lost with all hosts.
test('another host reads where streams began and at which versions they may', async t => {
  const fixture = new Fixture();
  fixture.listed = [V1, V2];
  fixture.begin('one', V2);
  await fixture.wait(STEP_MS);
  const {origins, versions} = await fixture.read();
  t.deepEqual(origins.get('one'), V2);
  t.deepEqual([...versions.get('s')!].sort(), ['v1', 'v2']);
});

// Guards against a stream at a version that no record names.
test('a version is announced once the store has taken it', async t => {
  const fixture = new Fixture();
  fixture.listed = [];
  let isDone = false;
  fixture.transact = async () => failure({kind: 'refused', message: ''});
  void fixture.record.announce(V1).then(() => (isDone = true));
  await settle();
  t.false(isDone);
  t.false(fixture.record.isAnnounced(V1));
  fixture.transact = transaction => fixture.rows.transact(transaction);
  await fixture.wait(1000);
  t.true(isDone);
  t.true(fixture.record.isAnnounced(V1));
  t.deepEqual(await fixture.versions(), ['v1']);
});

// Guards against a row that counts as written long ago, so that nobody reads it.
test('the record waits until the time of the store is known', async t => {
  const fixture = new Fixture();
  fixture.isStoreTimeKnown = false;
  void fixture.record.announce(V1);
  await fixture.wait(1000);
  t.false(fixture.record.isAnnounced(V1));
  fixture.isStoreTimeKnown = true;
  await fixture.wait(1000);
  t.true(fixture.record.isAnnounced(V1));
});

// Guards against a version that counts as announced after it has been taken out
// of the row, when it is listed again.
test('a version that has left is announced anew', async t => {
  const fixture = new Fixture();
  fixture.listed = [];
  await fixture.record.announce(V1);
  fixture.record.start();
  await fixture.wait(2000);
  t.false(fixture.record.isAnnounced(V1));
  t.deepEqual(await fixture.versions(), []);
  await fixture.record.announce(V1);
  t.true(fixture.record.isAnnounced(V1));
});

// Guards against a write without a response that is performed over a newer one.
test('a late write takes nothing from the record', async t => {
  const fixture = new Fixture();
  const late: RowTransaction[] = [];
  fixture.transact = async transaction => {
    late.push(transaction);
    return failure({kind: 'unknown', message: ''});
  };
  fixture.begin('one', V1);
  await fixture.wait(STEP_MS);
  fixture.transact = transaction => fixture.rows.transact(transaction);
  fixture.begin('two', V1);
  await fixture.wait(1000);
  for (const transaction of late) await fixture.rows.transact(transaction);
  t.true(late.length > 0);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['one', 'two']);
});

// Guards against a record that ends with the first write by somebody else.
test('a row that another host has removed is written again', async t => {
  const fixture = new Fixture();
  fixture.begin('one', V1);
  await fixture.wait(STEP_MS);
  const removes = [streamRowRef(MEMBER)];
  await fixture.rows.transact({expect: [], puts: [], removes});
  fixture.begin('two', V1);
  await fixture.wait(1000);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['one', 'two']);
});

// Guards against more writes than the store takes from all hosts together.
test('writes are rarer the more hosts there are', async t => {
  const fixture = new Fixture();
  fixture.hosts = 100;
  for (let i = 0; i < 100; i++) {
    fixture.begin(`stream-${i}`, V1);
    await fixture.wait(STEP_MS);
  }
  const seconds = (100 * STEP_MS) / 1000;
  const perHost = MAX_WRITES_PER_S / fixture.hosts;
  t.true(fixture.written.length <= seconds * perHost + 1);
  t.true(fixture.written.length >= seconds * perHost - 1);
});

test('a stream leaves the record after its end, or when it is too old', async t => {
  const fixture = new Fixture();
  fixture.begin('whole', V1);
  fixture.begin('broken', V1);
  fixture.record.end('whole');
  await fixture.wait(STREAM_LIFETIME_MS / 2);
  fixture.begin('later', V1);
  await fixture.wait(STEP_MS);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['broken', 'later']);
  await fixture.wait(STREAM_LIFETIME_MS + STEP_MS);
  t.deepEqual([...(await fixture.read()).origins.keys()], []);
});

// Guards against refused streams whose host, and all it has told, are lost late in
// their run.
test('a stream stays in the record for as long as its route lets it run', async t => {
  const fixture = new Fixture();
  fixture.begin('long', V1, LONG_TIMEOUT_MS);
  fixture.begin('short', V1);
  await fixture.wait(STREAM_LIFETIME_MS + STEP_MS);
  fixture.begin('later', V1);
  await fixture.wait(STEP_MS);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['long', 'later']);
  fixture.record[Symbol.dispose]();
  await fixture.wait(LONG_TIMEOUT_MS - STREAM_LIFETIME_MS);
  t.true((await fixture.read()).origins.has('long'));
});

// Guards against streams of two software versions: the record names one version
// only, although streams still run, or may begin, at one that has left the list.
for (const [what, begin] of [
  ['runs', (one: Fixture) => one.begin('s', V1, LONG_TIMEOUT_MS)],
  [
    'with a long ID runs',
    (one: Fixture) => one.begin(LONG_ID, V1, LONG_TIMEOUT_MS),
  ],
  [
    'may still begin',
    ({record, clock}: Fixture) => record.use(V1, clock.now() + LONG_TIMEOUT_MS),
  ],
] as const)
  test(`a version is recorded while a stream ${what} there`, async t => {
    const fixture = new Fixture();
    fixture.record.start();
    begin(fixture);
    fixture.listed = [V2];
    await fixture.wait(LONG_TIMEOUT_MS);
    t.deepEqual([...(await fixture.versions())].sort(), ['v1', 'v2']);
    await fixture.wait(TAKE_UP_MS + CHECK_MS);
    t.deepEqual(await fixture.versions(), ['v2']);
  });

// Guards against the same when more streams run than the row has room for.
test('a version is recorded though none of its streams fits into the row', async t => {
  const fixture = new Fixture();
  fixture.begin('old', V1, LONG_TIMEOUT_MS);
  fixture.listed = [V2];
  for (let i = 0; i < 2000; i++)
    fixture.begin(`${i}`.padEnd(100, 'x'), V2, LONG_TIMEOUT_MS);
  await fixture.wait(STEP_MS);
  const {origins, versions} = await fixture.read();
  t.false(origins.has('old'));
  t.deepEqual([...versions.get('s')!].sort(), ['v1', 'v2']);
});

// Guards against a version that is forgotten with the row of a lost host although
// its streams may still be taken up.
test('a row counts for as long as its streams may be taken up', async t => {
  const fixture = new Fixture();
  const timeoutMs = 2 * RECORD_LIFETIME_MS;
  fixture.begin('one', V1, timeoutMs);
  await fixture.wait(STEP_MS);
  fixture.record[Symbol.dispose]();
  fixture.clock.advance(timeoutMs);
  t.deepEqual((await fixture.read()).origins.get('one'), V1);
  fixture.clock.advance(TAKE_UP_MS);
  t.deepEqual(await fixture.versions(), []);
});

// Guards against long streams taking more of the network than control may have.
test('large rows are written less often', async t => {
  const fixture = new Fixture();
  for (let i = 0; i < 2000; i++) {
    fixture.begin(`stream-${i}`, V1, LONG_TIMEOUT_MS);
    await fixture.wait(STEP_MS);
  }
  const sizes = fixture.written.map(({puts}) => puts[0]!.value.byteLength);
  const bytes = sizes.reduce((sum, size) => sum + size, 0);
  const seconds = (2000 * STEP_MS) / 1000;
  t.true(bytes / seconds <= MAX_BYTES_PER_S, `${bytes / seconds}`);
});

// Guards against rows that pile up with each start of a host.
test('rows of earlier incarnations are removed when they do not count any more', async t => {
  const fixture = new Fixture();
  const old = streamRowRef('h0.0');
  const other = streamRowRef('h00.0');
  const value = encodeStreamRow({writtenAtMs: 0, begun: []});
  const puts = [old, other].map(ref => ({...ref, value}));
  await fixture.rows.transact({expect: [], puts, removes: []});
  fixture.record.start();
  await fixture.wait(RECORD_LIFETIME_MS - 2 * SWEEP_INTERVAL_MS);
  t.true(await fixture.has(old));
  await fixture.wait(4 * SWEEP_INTERVAL_MS);
  t.false(await fixture.has(old));
  t.true(await fixture.has(other));
  t.true(await fixture.has(streamRowRef(MEMBER)));
});

// Guards against a host that does not read the record because of one bad row.
test('a row that cannot be read is left out', async t => {
  const fixture = new Fixture();
  fixture.begin('one', V1);
  await fixture.wait(STEP_MS);
  const value = new TextEncoder().encode('{');
  const puts = [{...streamRowRef('h0.2'), value}];
  await fixture.rows.transact({expect: [], puts, removes: []});
  const {origins, isComplete} = await fixture.read();
  t.deepEqual([...origins.keys()], ['one']);
  t.false(isComplete);
});

// Guards against a caller whose IDs take the room of all others in the row.
test('long IDs leave the streams of others in the record', async t => {
  const fixture = new Fixture();
  for (let i = 0; i < 50; i++) fixture.begin(`sound-${i}`, V1);
  for (let i = 0; i < 5; i++) fixture.begin(`${i}`.padEnd(8000, 'x'), V1);
  await fixture.wait(STEP_MS);
  t.is((await fixture.read()).origins.size, 50);
});

// Guards against a row that the store does not take for its size.
test('a row stays within what the store takes', async t => {
  for (const text of ['s', '\u00e9'.repeat(200)]) {
    const fixture = new Fixture();
    for (let i = 0; i < 10_000; i++)
      fixture.begin(`${i}${text}`.slice(0, 200), V1);
    await fixture.wait(STEP_MS);
    const {value} = fixture.written.at(-1)!.puts[0]!;
    t.true((value.length * 4) / 3 <= 65_536, `${value.length}`);
  }
});
