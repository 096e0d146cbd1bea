import {failure, NO_EVENT_LOG} from '@oathead/core';
import {
  MemoryRowStore,
  type RowStore,
  type RowTransaction,
} from '@oathead/stores';
import test from 'ava';
import {
  RECORD_LIFETIME_MS,
  RecordedStreamsReader,
  type RecordedStreams,
} from '../../lib/process/recorded_streams.js';
import {STREAM_LIFETIME_MS} from '../../lib/process/service_versions.js';
import {StreamRecord} from '../../lib/process/stream_record.js';
import {streamRowRef} from '../../lib/process/stream_record_rows.js';
import {FakeClock} from '../fakes/fake_clock.js';

const MEMBER = 'h0.1';
const V1 = {service: 's', softwareVersion: 'v1'};
const V2 = {service: 's', softwareVersion: 'v2'};
const MAX_WRITES_PER_S = 100;
const STEP_MS = 50;

type Transact = RowStore['transact'];

/** One host with its record, and a reader at another host. */
class Fixture {
  readonly clock = new FakeClock();
  readonly rows = new MemoryRowStore(this.clock);
  readonly written: RowTransaction[] = [];
  hosts = 1;
  listed = [V1];
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
      storeTimeMs: () => this.rows.storeTimeMs(),
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

  async wait(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
    }
  }

  async read(): Promise<RecordedStreams> {
    return (await this.reader.read())!;
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
  fixture.record.begin('one', V2);
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

// Guards against a version that counts as announced after it has been taken out
// of the row, when it is listed again.
test('a version that has left is announced anew', async t => {
  const fixture = new Fixture();
  fixture.listed = [];
  await fixture.record.announce(V1);
  fixture.record.start();
  await fixture.wait(1000);
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
  fixture.record.begin('one', V1);
  await fixture.wait(STEP_MS);
  fixture.transact = transaction => fixture.rows.transact(transaction);
  fixture.record.begin('two', V1);
  await fixture.wait(1000);
  for (const transaction of late) await fixture.rows.transact(transaction);
  t.true(late.length > 0);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['one', 'two']);
});

// Guards against a record that ends with the first write by somebody else.
test('a row that another host has removed is written again', async t => {
  const fixture = new Fixture();
  fixture.record.begin('one', V1);
  await fixture.wait(STEP_MS);
  const removes = [streamRowRef(MEMBER)];
  await fixture.rows.transact({expect: [], puts: [], removes});
  fixture.record.begin('two', V1);
  await fixture.wait(1000);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['one', 'two']);
});

// Guards against more writes than the store takes from all hosts together.
test('writes are rarer the more hosts there are', async t => {
  const fixture = new Fixture();
  fixture.hosts = 100;
  for (let i = 0; i < 100; i++) {
    fixture.record.begin(`stream-${i}`, V1);
    await fixture.wait(STEP_MS);
  }
  const seconds = (100 * STEP_MS) / 1000;
  const perHost = MAX_WRITES_PER_S / fixture.hosts;
  t.true(fixture.written.length <= seconds * perHost + 1);
  t.true(fixture.written.length >= seconds * perHost - 1);
});

test('a stream leaves the record after its end, or when it is too old', async t => {
  const fixture = new Fixture();
  fixture.record.begin('whole', V1);
  fixture.record.begin('broken', V1);
  fixture.record.end('whole');
  await fixture.wait(STREAM_LIFETIME_MS / 2);
  fixture.record.begin('later', V1);
  await fixture.wait(STEP_MS);
  t.deepEqual([...(await fixture.read()).origins.keys()], ['broken', 'later']);
  await fixture.wait(STREAM_LIFETIME_MS + STEP_MS);
  t.deepEqual([...(await fixture.read()).origins.keys()], []);
});

// Guards against rows of hosts that are gone for good.
test('rows of lost hosts are removed when they do not count any more', async t => {
  const fixture = new Fixture();
  fixture.record.begin('one', V1);
  await fixture.wait(STEP_MS);
  fixture.record[Symbol.dispose]();
  await fixture.wait(RECORD_LIFETIME_MS + STEP_MS);
  t.deepEqual(await fixture.versions(), []);
  const {table, partition} = streamRowRef(MEMBER);
  const left = await fixture.rows.read({table, partition});
  t.deepEqual(left.ok && left.value.rows, []);
});

// Guards against a host that does not read the record because of one bad row.
test('a row that cannot be read is left out', async t => {
  const fixture = new Fixture();
  fixture.record.begin('one', V1);
  await fixture.wait(STEP_MS);
  const value = new TextEncoder().encode('{');
  const puts = [{...streamRowRef('h0.2'), value}];
  await fixture.rows.transact({expect: [], puts, removes: []});
  t.deepEqual([...(await fixture.read()).origins.keys()], ['one']);
});
