import {failure, NO_COUNTERS, NO_EVENT_LOG} from '@oathead/core';
import {MemoryRowStore, type RowQuery, type RowStore} from '@oathead/stores';
import test from 'ava';
import type {StreamOrigin} from '../../lib/connection/stream_version_message.js';
import type {Target} from '../../lib/connection/target.js';
import {AnnouncedTargets} from '../../lib/process/announced_targets.js';
import type {LoadPeer} from '../../lib/process/load_reporter.js';
import {RecordedStreamsReader} from '../../lib/process/recorded_streams.js';
import type {StreamFinding} from '../../lib/process/stream_finding.js';
import {TAKE_UP_MS} from '../../lib/process/stream_lifetime.js';
import {StreamRecord} from '../../lib/process/stream_record.js';
import {streamRowRef} from '../../lib/process/stream_record_rows.js';
import {StreamVersions} from '../../lib/process/stream_versions.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newIncarnation, newTarget} from '../fakes/targets.js';

const REFUSED = failure({kind: 'refused', message: ''} as const);
const SERVICE = 's';
const OTHER_SERVICE = 'w';
const V1 = newTarget('a', {service: SERVICE, softwareVersion: 'v1'});
const V2 = newTarget('b', {service: SERVICE, softwareVersion: 'v2'});
const AT_V2 = {service: SERVICE, softwareVersion: 'v2'};
const UNKNOWN = {kind: 'unknown'};
const LONG_MS = 30_000;
const READ_INTERVAL_MS = 500;
/** Timeout of the route of the streams, in milliseconds. */
const TIMEOUT_MS = 5000;
const STREAM_LIFETIME_MS = TIMEOUT_MS + TAKE_UP_MS;

/** The store and the hosts of one test, of which each knows no other one. */
class World {
  readonly clock = new FakeClock();
  readonly rows = new MemoryRowStore(this.clock);

  start(memberId: string): Host {
    return new Host(this, memberId);
  }

  async pass(ms: number, stepMs = 20): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(stepMs);
      await settle();
    }
  }
}

/** A host with all that decides at which version a stream may go on. */
class Host {
  takesWrites = true;
  readMs = 0;
  isServed: (query: RowQuery) => boolean = () => true;
  readonly directory: TargetDirectory;
  readonly record: StreamRecord;
  readonly versions: StreamVersions<LoadPeer>;
  private readonly targets: AnnouncedTargets;
  private readonly reader: RecordedStreamsReader;
  private listed: readonly Target[] = [];

  constructor(
    private readonly world: World,
    memberId: string,
  ) {
    const {clock} = world;
    const log = NO_EVENT_LOG;
    const store = this.storeOf(world);
    const streamLifetimeMs = () => STREAM_LIFETIME_MS;
    this.directory = new TargetDirectory({clock, log, streamLifetimeMs});
    const {directory} = this;
    this.record = new StreamRecord({
      memberId,
      clock,
      log,
      store,
      maxWritesPerS: 150,
      hosts: () => 1,
      listedVersions: () => directory.versions.allSeen(),
    });
    this.targets = new AnnouncedTargets({
      clock,
      log,
      directory,
      record: this.record,
      onReleased: () => {},
    });
    this.reader = new RecordedStreamsReader({clock, log, store});
    this.versions = new StreamVersions<LoadPeer>({
      self: {id: memberId, dataCentre: 'a'},
      clock,
      log,
      counters: NO_COUNTERS,
      directory,
      streamLifetimeMs,
      readTargets: async () => {
        this.list(...this.listed);
        return true;
      },
      record: this.record,
      readRecord: () => this.reader.read(),
      peers: () => [],
      peer: () => undefined,
      send: () => {},
    });
    this.record.start();
  }

  /** This host reads a list with these targets. */
  list(...targets: readonly Target[]): void {
    this.listed = targets;
    this.directory.recordListRead();
    for (const target of targets) this.targets.put(target);
  }

  /** It goes on reading an unchanged list. */
  async follow(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += READ_INTERVAL_MS) {
      await this.world.pass(READ_INTERVAL_MS, READ_INTERVAL_MS / 5);
      this.list(...this.listed);
    }
  }

  /** A stream of this host begins. */
  begin(stream: string, origin: StreamOrigin): void {
    const endsAt = this.world.clock.now() + TIMEOUT_MS;
    this.versions.record(stream, origin, endsAt);
  }

  inUse(): readonly string[] {
    const targets = this.directory.ofService(SERVICE);
    return targets.map(({id}) => id).sort();
  }

  async recorded(service = SERVICE): Promise<readonly string[]> {
    const {versions} = await this.reader.read();
    return [...(versions.get(service) ?? [])].sort();
  }

  /** What is decided of a stream, and how long that takes. */
  async takeUp(stream: string): Promise<StreamFinding> {
    let finding: StreamFinding | undefined;
    void this.versions
      .continuationOf(SERVICE, stream)
      .then(found => (finding = found));
    while (!finding) await this.world.pass(20);
    return finding;
  }

  private storeOf({
    clock,
    rows,
  }: World): Pick<RowStore, 'transact' | 'read' | 'storeTimeMs'> {
    return {
      transact: async transaction =>
        this.takesWrites ? rows.transact(transaction) : REFUSED,
      read: async query => {
        if (this.readMs > 0)
          await new Promise<void>(done => clock.after(this.readMs, done));
        return this.isServed(query) ? rows.read(query) : REFUSED;
      },
      storeTimeMs: () => rows.storeTimeMs(),
    };
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 100; turn++) await Promise.resolve();
}

function atOther(id: string, softwareVersion: string): Target {
  return newTarget(id, {service: OTHER_SERVICE, softwareVersion});
}

// Guards against a version that is used while its host's row does not name it.
test('all versions of a first list are in the row once they are in use', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(V1, V2);
  await settle();
  t.deepEqual(host.inUse(), ['a', 'b']);
  t.deepEqual(await host.recorded(), ['v1', 'v2']);
  await world.pass(2000);
  t.deepEqual(await host.recorded(), ['v1', 'v2']);
});

// Guards against the same: the second of two announcements takes the first one
// out of the row, and all hosts are lost then.
test('a stream is not joined when two services change their versions at once', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(V1, atOther('c', 'w1'));
  await host.follow(LONG_MS);
  host.list(V1, V2, atOther('c', 'w1'), atOther('d', 'w2'));
  await settle();
  t.deepEqual(host.inUse(), ['a', 'b']);
  host.begin('one', AT_V2);
  host.record[Symbol.dispose]();
  await world.pass(1000);
  const next = world.start('h0.2');
  next.list(V1, atOther('c', 'w1'));
  await settle();
  t.deepEqual((await next.takeUp('one')).continuation, UNKNOWN);
});

// Guards against a stream that is joined where several versions are listed and
// hosts of an earlier release have recorded nothing.
test('nothing is inferred while several versions are listed', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(V1, V2);
  await settle();
  t.deepEqual((await host.takeUp('one')).continuation, UNKNOWN);
});

// Guards against events of a restarted server that count as those of its version
// before the restart.
test('a server that is back with another version is not used as before', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(newIncarnation('a', 1, {softwareVersion: 'v1'}), V1);
  await settle();
  host.takesWrites = false;
  host.list(newIncarnation('a', 2, {softwareVersion: 'v2'}));
  await settle();
  const incarnations = host.directory.ofService(V1.service).map(({id}) => id);
  t.false(incarnations.includes('a@1'));
});

// Guards against targets that a host never uses because the store takes no writes.
test('a host that starts while the store takes no writes uses all versions', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.takesWrites = false;
  host.list(V1, V2);
  await world.pass(2000);
  t.deepEqual(host.inUse(), ['a', 'b']);
});

// Guards against the same with further targets of a version in use.
test('a further target of a version in use needs no announcement', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.takesWrites = false;
  host.list(V1);
  await world.pass(2000);
  host.list(V1, newTarget('c', {service: SERVICE, softwareVersion: 'v1'}));
  t.deepEqual(host.inUse(), ['a', 'c']);
});

// Guards against refusals after the loss of many hosts, when the record is large
// or the store slow.
test('a stream waits for a slow read of the record', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(V1, V2);
  await world.pass(1000);
  host.begin('one', AT_V2);
  await world.pass(1000);
  const next = world.start('h0.2');
  next.list(V1, V2);
  await world.pass(1000);
  next.readMs = 600;
  t.is((await next.takeUp('one')).evidence, 'recorded');
});

// Guards against an inference from a part of the record.
test('nothing is inferred beside a row that cannot be read', async t => {
  const world = new World();
  const value = new TextEncoder().encode('{"begun":1}');
  const puts = [{...streamRowRef('h9.1'), value}];
  await world.rows.transact({expect: [], puts, removes: []});
  const host = world.start('h0.1');
  host.list(V1);
  await settle();
  const {continuation, knowledge} = await host.takeUp('one');
  t.deepEqual(continuation, UNKNOWN);
  t.is(knowledge.record, 'part');
});

// Guards against refusals of streams that are in the rows that could be read.
test('a stream is found although a part of the record is not served', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(V1, V2);
  await world.pass(1000);
  host.begin('one', AT_V2);
  await world.pass(1000);
  const next = world.start('h0.2');
  next.list(V1, V2);
  await world.pass(1000);
  const own = streamRowRef('h0.1').partition;
  next.isServed = ({partition}) => partition === own;
  t.is((await next.takeUp('one')).evidence, 'recorded');
});

// Guards against a version that is forgotten because its host could not write for
// some time before all hosts were lost.
test('a row counts while its host cannot write', async t => {
  const world = new World();
  const host = world.start('h0.1');
  host.list(V1);
  await world.pass(1000);
  host.takesWrites = false;
  await host.follow(120_000);
  host.begin('one', {...AT_V2, softwareVersion: 'v1'});
  host.record[Symbol.dispose]();
  const next = world.start('h0.2');
  next.list(V2);
  await world.pass(1000);
  t.deepEqual((await next.takeUp('one')).continuation, UNKNOWN);
});

// Guards against a stream that counts as being where it was before it moved.
test('of two rows with a stream the younger one counts', async t => {
  for (const [first, second] of [
    ['h0.1', 'h1.1'],
    ['h1.1', 'h0.1'],
  ] as const) {
    const world = new World();
    const before = world.start(first);
    before.list(V1);
    await world.pass(100);
    before.begin('one', {service: SERVICE, softwareVersion: 'v1'});
    await world.pass(200);
    before.record[Symbol.dispose]();
    const after = world.start(second);
    after.list(atOther('c', 'w1'));
    await world.pass(100);
    after.begin('one', {service: OTHER_SERVICE, softwareVersion: 'w1'});
    await world.pass(200);
    const next = world.start('h2.1');
    t.deepEqual((await next.takeUp('one')).continuation, {kind: 'anywhere'});
  }
});
