import {failure, NO_COUNTERS, NO_EVENT_LOG} from '@oathead/core';
import {MemoryRowStore, type RowStore} from '@oathead/stores';
import test from 'ava';
import {
  decodeStreamVersion,
  encodeStreamVersion,
  type StreamOrigin,
  type StreamVersionMessage,
} from '../../lib/connection/stream_version_message.js';
import {HostRing} from '../../lib/process/host_ring.js';
import type {LoadPeer} from '../../lib/process/load_reporter.js';
import {RecordedStreamsReader} from '../../lib/process/recorded_streams.js';
import {TAKE_UP_MS} from '../../lib/process/stream_lifetime.js';
import {StreamRecord} from '../../lib/process/stream_record.js';
import {StreamVersions} from '../../lib/process/stream_versions.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const SERVICE = 's';
const READ_INTERVAL_MS = 500;
/** Timeout of the route of the streams, in milliseconds. */
const TIMEOUT_MS = 5000;
/** The same for streams that run for long. */
const LONG_TIMEOUT_MS = 60_000;
const STREAM_LIFETIME_MS = TIMEOUT_MS + TAKE_UP_MS;
const STREAMS = 200;
const FIRST = {service: SERVICE, softwareVersion: 'v1'};
/** Datagrams of two bytes and more that are no message. */
const BAD_DATAGRAMS = [
  [0x92, 15],
  [0x92, 15, 0x80],
  [0x91, 15, 1],
  [0xff, 0xff],
];

/** Hosts that read the same list of targets and reach each other at once. */
class Fleet {
  readonly clock = new FakeClock();
  readonly hosts = new Map<string, Host>();
  readonly rows = new MemoryRowStore(this.clock);
  readonly sent: StreamVersionMessage[] = [];
  isDelivered: (message: StreamVersionMessage, to: string) => boolean = () =>
    true;
  /** Whether the hosts reach the store. */
  isStoreReached = true;
  /** How long streams last at the most by the configuration of all hosts. */
  streamLifetimeMs = STREAM_LIFETIME_MS;
  /** Names of hosts that reach only each other. */
  readonly cutOff = new Set<string>();
  private started = 0;

  constructor(count: number) {
    for (let i = 0; i < count; i++) this.start(`h${i}`);
  }

  /** Starts a host, which forgets what it knew before. */
  start(name: string): Host {
    const host = this.startUnread(name);
    host.directory.recordListRead();
    return host;
  }

  /** Starts a host that has not read the list of targets. */
  startUnread(name: string): Host {
    const host = new Host(this, {
      id: `${name}.${this.started++}`,
      dataCentre: 'a',
    });
    this.hosts.set(name, host);
    return host;
  }

  get(name: string): Host {
    return this.hosts.get(name)!;
  }

  /** Lists a target of a software version at all hosts that reach the store. */
  list(softwareVersion: string): void {
    for (const host of this.reaching()) host.list(softwareVersion);
  }

  /** Lets these hosts read an unchanged list for some time. */
  follow(ms: number): void {
    for (let i = 0; i < ms; i += READ_INTERVAL_MS) {
      this.clock.advance(READ_INTERVAL_MS);
      for (const {directory} of this.reaching()) directory.recordListRead();
    }
  }

  /** Whether a host reaches the store. */
  reachesStore(name: string): boolean {
    return this.isStoreReached && !this.cutOff.has(name);
  }

  /** @returns The store, as a host reaches it. */
  storeOf(name: string): Pick<RowStore, 'transact' | 'read' | 'storeTimeMs'> {
    const {rows} = this;
    const refused = failure({kind: 'refused', message: 'cut off'} as const);
    const isReached = () => this.reachesStore(name);
    return {
      transact: async transaction =>
        isReached() ? rows.transact(transaction) : refused,
      read: async query => (isReached() ? rows.read(query) : refused),
      storeTimeMs: () => rows.storeTimeMs(),
    };
  }

  /** Whether datagrams pass between two hosts. */
  isLinked(a: string, b: string): boolean {
    return this.cutOff.has(a) === this.cutOff.has(b);
  }

  private reaching(): readonly Host[] {
    const reaching = [...this.hosts].filter(([name]) => !this.cutOff.has(name));
    return reaching.map(([, host]) => host);
  }
}

class Host {
  readonly directory: TargetDirectory;
  readonly versions: StreamVersions;
  private readonly record: StreamRecord;
  private readonly clock: FakeClock;

  constructor(
    fleet: Fleet,
    readonly self: LoadPeer,
  ) {
    const {clock} = fleet;
    this.clock = clock;
    const name = nameOf(self.id);
    const log = NO_EVENT_LOG;
    const streamLifetimeMs = () => fleet.streamLifetimeMs;
    this.directory = new TargetDirectory({clock, log, streamLifetimeMs});
    const peers = () =>
      [...fleet.hosts.values()]
        .map(host => host.self)
        .filter(peer => peer !== self);
    const store = fleet.storeOf(name);
    this.record = new StreamRecord({
      memberId: self.id,
      clock,
      log,
      store,
      maxWritesPerS: 100,
      hosts: () => fleet.hosts.size,
      listedVersions: () => this.directory.versions.allSeen(),
    });
    const recorded = new RecordedStreamsReader({clock, log, store});
    this.versions = new StreamVersions({
      record: this.record,
      readRecord: () => recorded.read(),
      self,
      clock,
      log,
      counters: NO_COUNTERS,
      directory: this.directory,
      streamLifetimeMs,
      readTargets: async () => {
        const isReached = fleet.reachesStore(name);
        if (isReached) this.directory.recordListRead();
        return isReached;
      },
      peers,
      peer: id => peers().find(peer => peer.id === id),
      send: (message, to) => {
        const datagram = encodeStreamVersion(message);
        for (const {id} of to) {
          fleet.sent.push(message);
          const host = fleet.hosts.get(nameOf(id));
          if (host?.self.id !== id || !fleet.isDelivered(message, id)) continue;
          if (!fleet.isLinked(name, nameOf(id))) continue;
          host.versions.receive(decodeStreamVersion(datagram)!);
        }
      },
    });
  }

  /** A stream of this host begins. */
  begin(stream: string, origin: StreamOrigin, timeoutMs = TIMEOUT_MS): void {
    this.versions.record(stream, origin, this.clock.now() + timeoutMs);
  }

  list(softwareVersion: string): void {
    const id = `t-${softwareVersion}`;
    this.directory.put(newTarget(id, {service: SERVICE, softwareVersion}));
    void this.record.announce({service: SERVICE, softwareVersion});
  }

  /** What may be done with a stream; asks that get no answer time out. */
  async continuationOf(fleet: Fleet, stream: string | undefined) {
    return (await this.findingOf(fleet, stream)).continuation;
  }

  /** The same, with what the decision rests on. */
  async findingOf(fleet: Fleet, stream: string | undefined) {
    let isSettled = false;
    const found = this.versions
      .continuationOf(SERVICE, stream)
      .finally(() => (isSettled = true));
    await settlePromises();
    while (!isSettled) {
      fleet.clock.advance(80);
      await settlePromises();
    }
    return found;
  }
}

function nameOf(id: string): string {
  return id.split('.')[0]!;
}

async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < 60; turn++) await Promise.resolve();
}

/** A fleet that follows a list of two software versions. */
function newMixedFleet(hosts = 9): Fleet {
  const fleet = new Fleet(hosts);
  fleet.list('v1');
  fleet.list('v2');
  fleet.follow(STREAM_LIFETIME_MS);
  return fleet;
}

function streamIds(): readonly string[] {
  return [...Array(STREAMS).keys()].map(i => `stream-${i}`);
}

const AT_FIRST = {kind: 'at-version', softwareVersion: 'v1'} as const;

test('with one software version two hosts are told, and one asked is enough', async t => {
  const fleet = new Fleet(9);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  fleet.get('h0').begin('one', FIRST);
  t.is(fleet.sent.length, 2);
  t.true(fleet.sent.every(({kind}) => kind === 'told'));
  const since = fleet.clock.now();
  t.deepEqual(await fleet.get('h1').continuationOf(fleet, 'one'), AT_FIRST);
  t.is(fleet.clock.now(), since);
});

// Guards against streams that change their version when their host is killed.
test('any host learns where the streams of a killed host began', async t => {
  const fleet = newMixedFleet();
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  t.is(fleet.sent.length, 4 * STREAMS);
  fleet.hosts.delete('h0');
  for (const [i, id] of streamIds().entries()) {
    const found = await fleet.get(`h${1 + (i % 8)}`).continuationOf(fleet, id);
    t.deepEqual(found, AT_FIRST);
  }
});

// Guards against refused streams after a loss of most hosts at once.
test('most streams are known after six of nine hosts are lost', async t => {
  const fleet = newMixedFleet();
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  for (let i = 0; i < 6; i++) fleet.start(`h${i}`).list('v1');
  for (let i = 0; i < 6; i++) fleet.get(`h${i}`).list('v2');
  let known = 0;
  for (const id of streamIds()) {
    const found = await fleet.get('h0').continuationOf(fleet, id);
    t.not(found.kind, 'anywhere');
    if (found.kind === 'at-version') known++;
  }
  t.true(known > STREAMS / 2, `${known} of ${STREAMS}`);
});

test('lost datagrams do not lose the version of a stream', async t => {
  const fleet = newMixedFleet();
  let sent = 0;
  fleet.isDelivered = () => sent++ % 2 === 0;
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  fleet.hosts.delete('h0');
  fleet.isDelivered = ({kind}) => kind === 'told' || sent++ % 5 > 0;
  for (const id of streamIds())
    t.deepEqual(await fleet.get('h1').continuationOf(fleet, id), AT_FIRST);
});

// Guards against streams that nobody was told of, because there was only one
// version when they began.
test('streams from before a second version are told when it is listed', async t => {
  const fleet = new Fleet(9);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  t.is(fleet.sent.length, 2 * STREAMS);
  fleet.list('v2');
  fleet.hosts.delete('h0');
  for (const id of streamIds())
    t.deepEqual(await fleet.get('h1').continuationOf(fleet, id), AT_FIRST);
});

// Guards against streams that nobody was told of by a host that is cut off from
// the list of targets, and therefore does not see the second version.
test('streams are told when the list is not followed any more', async t => {
  const fleet = new Fleet(9);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  const cutOff = fleet.get('h0');
  cutOff.begin('before', FIRST);
  fleet.clock.advance(2000);
  cutOff.begin('after', FIRST);
  fleet.hosts.delete('h0');
  fleet.list('v2');
  for (const id of ['before', 'after'])
    t.deepEqual(await fleet.get('h1').continuationOf(fleet, id), AT_FIRST);
});

// Guards against a stream that is joined with one of another version by chance,
// and against a caller that waits for an answer that nobody has.
test('a stream that no host knows is refused in bounded time', async t => {
  const fleet = newMixedFleet();
  const unknown = {kind: 'unknown'};
  const {clock} = fleet;
  t.deepEqual(await fleet.get('h1').continuationOf(fleet, 'lost'), unknown);
  t.deepEqual(await fleet.get('h1').continuationOf(fleet, undefined), unknown);
  fleet.isDelivered = () => false;
  const since = clock.now();
  const found = fleet.get('h1').versions.continuationOf(SERVICE, 'lost');
  for (let i = 0; i < 2; i++) {
    clock.advance(80);
    await settlePromises();
  }
  t.deepEqual((await found).continuation, unknown);
  t.is(clock.now() - since, 160);
});

// Guards against refusals by a host that has just started, when a second version
// is listed and no host was told of the stream.
test('a host that has just started finds in the store where a stream began', async t => {
  const fleet = new Fleet(3);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  fleet.isDelivered = () => false;
  fleet.get('h0').begin('one', FIRST);
  fleet.clock.advance(READ_INTERVAL_MS);
  await settlePromises();
  const started = fleet.start('h1');
  started.list('v1');
  started.list('v2');
  t.deepEqual(await started.continuationOf(fleet, 'one'), AT_FIRST);
  const unknown = await started.continuationOf(fleet, 'unrecorded');
  t.deepEqual(unknown, {kind: 'unknown'});
});

// Guards against the loss of what all hosts knew, at once, while both versions
// serve.
test('streams are known after all hosts are lost', async t => {
  const fleet = newMixedFleet();
  for (const [i, id] of streamIds().entries())
    fleet.get(`h${i % 9}`).begin(id, FIRST);
  fleet.clock.advance(READ_INTERVAL_MS);
  await settlePromises();
  for (const name of [...fleet.hosts.keys()]) fleet.start(name);
  fleet.list('v1');
  fleet.list('v2');
  for (const id of streamIds())
    t.deepEqual(await fleet.get('h1').continuationOf(fleet, id), AT_FIRST);
});

// Guards against a stream of two software versions: all hosts are lost, and the
// only version that is left is taken for the one that began it.
test('a version that hosts have recorded counts after it has left the list', async t => {
  const fleet = new Fleet(3);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  await settlePromises();
  for (const name of [...fleet.hosts.keys()]) fleet.start(name);
  fleet.list('v2');
  fleet.follow(STREAM_LIFETIME_MS);
  const found = await fleet.get('h1').continuationOf(fleet, 'unrecorded');
  t.deepEqual(found, {kind: 'unknown'});
});

// Guards against a refusal by a host that was frozen or cut off and is not heard
// yet by those that know the stream.
test('a host that is back in touch soon goes on with a stream that nobody tells', async t => {
  const fleet = newMixedFleet(3);
  fleet.isDelivered = () => false;
  fleet.get('h0').begin('one', FIRST);
  fleet.clock.advance(READ_INTERVAL_MS);
  await settlePromises();
  fleet.cutOff.add('h1');
  fleet.clock.after(2 * READ_INTERVAL_MS, () => fleet.cutOff.delete('h1'));
  const found = await fleet.get('h1').continuationOf(fleet, 'one');
  t.deepEqual(found, AT_FIRST);
});

// Guards against a stream of two software versions: two hosts that are cut off
// together take each other's old list for what is listed now.
test('hosts that are cut off together rely on no list of each other', async t => {
  const fleet = new Fleet(4);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  fleet.cutOff.add('h0').add('h1');
  fleet.list('v2');
  fleet.get('h2').begin('r1', {
    service: SERVICE,
    softwareVersion: 'v2',
  });
  fleet.follow(READ_INTERVAL_MS);
  const found = await fleet.get('h0').continuationOf(fleet, 'r1');
  t.deepEqual(found, {kind: 'unknown'});
});

// Guards against a decision on a stream that cannot be explained afterwards.
test('a decision on a stream says who was asked and what was known', async t => {
  const fleet = new Fleet(2);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  const asking = fleet.start('h2');
  asking.list('v1');
  const {knowledge} = await asking.findingOf(fleet, 'r1');
  t.is(knowledge.upMs, 0);
  t.deepEqual(knowledge.versions, [{softwareVersion: 'v1', knownMs: 0}]);
  const others = [...fleet.hosts.values()].filter(host => host !== asking);
  const ids = others.map(({self}) => self.id).sort();
  t.deepEqual([...knowledge.asked].sort(), ids);
  t.deepEqual(knowledge.answers.map(({host}) => host).sort(), ids);
  for (const {listAgeMs} of knowledge.answers) t.is(listAgeMs, 0);
});

// Guards against refusals where all hosts have just started: nothing can be
// joined wrongly if there is one version only.
test('a stream goes on at the only version that is listed', async t => {
  const fleet = new Fleet(3);
  fleet.list('v1');
  t.deepEqual(await fleet.get('h1').continuationOf(fleet, 'one'), AT_FIRST);
});

test('a stream that has moved to another service may go on anywhere', async t => {
  const fleet = newMixedFleet();
  fleet.get('h0').begin('one', {...FIRST, service: 'other'});
  const {kind} = await fleet.get('h1').continuationOf(fleet, 'one');
  t.is(kind, 'anywhere');
});

test('a stream is forgotten when it cannot be taken up any more', async t => {
  const fleet = newMixedFleet();
  fleet.get('h0').begin('one', FIRST);
  fleet.follow(STREAM_LIFETIME_MS + READ_INTERVAL_MS);
  const {kind} = await fleet.get('h1').continuationOf(fleet, 'one');
  t.is(kind, 'unknown');
});

// Guards against refused streams whose host is killed late in their run.
test('a stream is known for as long as its route lets it run', async t => {
  const fleet = newMixedFleet();
  fleet.streamLifetimeMs = LONG_TIMEOUT_MS + TAKE_UP_MS;
  for (const id of streamIds())
    fleet.get('h0').begin(id, FIRST, LONG_TIMEOUT_MS);
  fleet.follow(LONG_TIMEOUT_MS);
  fleet.hosts.delete('h0');
  for (const id of streamIds())
    t.deepEqual(await fleet.get('h1').continuationOf(fleet, id), AT_FIRST);
});

// Guards against the same when the host that went on with it is lost as well.
test('a long stream is known after two hosts were lost in turn', async t => {
  const fleet = newMixedFleet();
  fleet.streamLifetimeMs = LONG_TIMEOUT_MS + TAKE_UP_MS;
  fleet.get('h0').begin('one', FIRST, LONG_TIMEOUT_MS);
  for (const [lost, next] of [
    ['h0', 'h1'],
    ['h1', 'h2'],
  ] as const) {
    fleet.follow(LONG_TIMEOUT_MS);
    fleet.hosts.delete(lost);
    const found = await fleet.get(next).continuationOf(fleet, 'one');
    t.deepEqual(found, AT_FIRST);
    fleet.get(next).begin('one', FIRST, LONG_TIMEOUT_MS);
  }
});

// Guards against the same while the store is away.
test('a long stream is known to other hosts without the store', async t => {
  const fleet = newMixedFleet();
  fleet.streamLifetimeMs = LONG_TIMEOUT_MS + TAKE_UP_MS;
  fleet.get('h0').begin('one', FIRST, LONG_TIMEOUT_MS);
  fleet.isStoreReached = false;
  fleet.follow(LONG_TIMEOUT_MS);
  fleet.hosts.delete('h0');
  t.deepEqual(await fleet.get('h1').continuationOf(fleet, 'one'), AT_FIRST);
});

// Guards against the same when the second version comes late in its run.
test('a long stream is told to more hosts when a second version is listed', async t => {
  const fleet = new Fleet(9);
  fleet.streamLifetimeMs = LONG_TIMEOUT_MS + TAKE_UP_MS;
  fleet.list('v1');
  fleet.follow(fleet.streamLifetimeMs);
  fleet.get('h0').begin('one', FIRST, LONG_TIMEOUT_MS);
  t.is(fleet.sent.length, 2);
  fleet.follow(LONG_TIMEOUT_MS / 2);
  fleet.list('v2');
  const told = fleet.sent.filter(({kind}) => kind === 'told');
  t.is(told.length, 4);
  fleet.hosts.delete('h0');
  t.deepEqual(await fleet.get('h1').continuationOf(fleet, 'one'), AT_FIRST);
});

// Guards against the same when all hosts that were told are lost before.
test('a stream is told of again for as long as it runs', async t => {
  const fleet = newMixedFleet();
  fleet.streamLifetimeMs = LONG_TIMEOUT_MS + TAKE_UP_MS;
  fleet.get('h0').begin('one', FIRST, LONG_TIMEOUT_MS);
  fleet.follow(LONG_TIMEOUT_MS);
  for (let i = 1; i < 9; i++) {
    const host = fleet.start(`h${i}`);
    host.list('v1');
    host.list('v2');
  }
  fleet.follow(READ_INTERVAL_MS);
  fleet.get('h0').versions.tell();
  fleet.hosts.delete('h0');
  t.is((await fleet.get('h1').findingOf(fleet, 'one')).evidence, 'learned');
});

// Guards against streams that go on at another software version, at a host that
// was cut off before that version was listed and gets no answer either.
test('a host that does not read the list refuses what it does not know', async t => {
  const fleet = new Fleet(3);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  fleet.clock.advance(2000);
  fleet.isDelivered = () => false;
  fleet.isStoreReached = false;
  const found = await fleet.get('h1').continuationOf(fleet, 'began-at-v2');
  t.is(found.kind, 'unknown');
});

// Guards against the same in the moments before the host notices that it is cut
// off: what it has read last may be older than the stream.
test('a list that is not read again says nothing of a stream', async t => {
  const fleet = new Fleet(3);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  fleet.isDelivered = () => false;
  fleet.isStoreReached = false;
  const found = await fleet.get('h1').continuationOf(fleet, 'began-at-v2');
  t.is(found.kind, 'unknown');
});

// Guards against entries that a peer has handed over counting as a list that is
// read.
test('a host that has its targets from a peer alone refuses', async t => {
  const fleet = new Fleet(1);
  fleet.list('v1');
  const seeded = fleet.startUnread('h1');
  seeded.list('v1');
  fleet.isDelivered = () => false;
  fleet.isStoreReached = false;
  const found = await seeded.continuationOf(fleet, 'began-at-v2');
  t.is(found.kind, 'unknown');
});

// Guards against a host that was cut off while a version came and went.
test('a host that asks relies on no list when others have seen several versions', async t => {
  const fleet = newMixedFleet(3);
  const back = fleet.start('h1');
  back.list('v1');
  const found = await back.continuationOf(fleet, 'began-at-v2');
  t.is(found.kind, 'unknown');
});

// Guards against refused streams of a host that was killed while there was one
// version, when a second one is listed before their callers are back.
test('streams of a killed host are known when a release begins after it', async t => {
  const fleet = new Fleet(9);
  fleet.list('v1');
  fleet.follow(STREAM_LIFETIME_MS);
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  fleet.hosts.delete('h0');
  fleet.list('v2');
  for (const [i, id] of streamIds().entries())
    t.deepEqual(
      await fleet.get(`h${1 + (i % 8)}`).continuationOf(fleet, id),
      AT_FIRST,
    );
});

// Guards against streams that are forgotten by a host that knows no other one
// yet, as right after the start of all.
test('streams are told once there is another host to tell', async t => {
  const fleet = new Fleet(1);
  fleet.list('v1');
  fleet.list('v2');
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  for (const name of ['h1', 'h2', 'h3', 'h4']) {
    const host = fleet.start(name);
    host.list('v1');
    host.list('v2');
  }
  fleet.follow(READ_INTERVAL_MS);
  fleet.get('h0').versions.tell();
  fleet.hosts.delete('h0');
  for (const id of streamIds())
    t.deepEqual(await fleet.get('h1').continuationOf(fleet, id), AT_FIRST);
});

// Guards against streams that nobody knows when the hosts that were told of them
// are lost before the one that serves them.
test('streams are told again when a host that knew them is lost', async t => {
  const fleet = newMixedFleet(9);
  for (const id of streamIds()) fleet.get('h0').begin(id, FIRST);
  for (const name of ['h1', 'h2', 'h3', 'h4', 'h5']) fleet.hosts.delete(name);
  fleet.follow(READ_INTERVAL_MS);
  fleet.get('h0').versions.tell();
  fleet.hosts.delete('h0');
  for (const id of streamIds())
    t.deepEqual(await fleet.get('h6').continuationOf(fleet, id), AT_FIRST);
});

test('bytes that are no message are refused', t => {
  for (const bytes of BAD_DATAGRAMS)
    t.is(decodeStreamVersion(Uint8Array.from(bytes)), undefined);
});

// Guards against a stream of which the hosts that are asked were not told,
// because hosts differ on who is alive.
test('most hosts of a key stay when hosts come and go', t => {
  const hosts = [...Array(40).keys()].map(i => ({
    id: `h${i}.0`,
    dataCentre: 'a',
  }));
  const all = new HostRing(hosts);
  const fewer = new HostRing(hosts.slice(2));
  for (const id of streamIds()) {
    const told = all.after(id, 4);
    t.is(new Set(told).size, 4);
    const asked = fewer.after(id, 6);
    t.true(told.filter(host => asked.includes(host)).length >= 2);
  }
  t.is(new HostRing(hosts.slice(0, 2)).after('key', 4).length, 2);
  t.is(new HostRing([]).after('key', 4).length, 0);
});
