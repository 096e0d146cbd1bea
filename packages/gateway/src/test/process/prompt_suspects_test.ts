import {failure, NO_COUNTERS, NO_EVENT_LOG} from '@oathead/core';
import {MemoryRowStore, type RowStore} from '@oathead/stores';
import test from 'ava';
import {partKeyOf} from '../../lib/process/prompt_suspect_rows.js';
import {PromptSuspects} from '../../lib/process/prompt_suspects.js';
import {SUSPECT_TABLE} from '../../lib/process/suspect_table.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const EXPIRY_MS = 3600;
const STEP_MS = 100;
const BAD = {service: 's', sharedParts: ['first', 'bad']};
const SOUND = {service: 's', sharedParts: ['first']};

/** Hosts that share a store and read its changes in each step. */
class Fleet {
  readonly clock = new FakeClock();
  readonly store = new MemoryRowStore(this.clock);
  /** Whether the store answers. */
  isStoreUp = true;
  readonly hosts: Host[] = [];

  add(): Host {
    const host = new Host(this);
    this.hosts.push(host);
    return host;
  }

  /** Lets time pass; a sound run gets through at each host in each step. */
  async run(ms: number, soundAt = this.hosts): Promise<void> {
    for (let i = 0; i < ms; i += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const {suspects, directory} of this.hosts) {
        directory.recordListRead();
        if (soundAt.some(host => host.suspects === suspects))
          suspects.recordCompletedRun(SOUND);
      }
      await settlePromises();
      for (const host of this.hosts) await host.read();
    }
  }
}

class Host {
  readonly suspects: PromptSuspects;
  readonly directory: TargetDirectory;
  private version = 0;

  constructor(private readonly fleet: Fleet) {
    const {clock, store} = fleet;
    const log = NO_EVENT_LOG;
    this.directory = new TargetDirectory({clock, log});
    const guarded: Pick<RowStore, 'transact' | 'storeTimeMs'> = {
      transact: async transaction =>
        fleet.isStoreUp
          ? store.transact(transaction)
          : failure({kind: 'refused', message: 'away'}),
      storeTimeMs: () => store.storeTimeMs(),
    };
    this.suspects = new PromptSuspects({
      store: guarded,
      clock,
      log,
      counters: NO_COUNTERS,
      directory: this.directory,
      expiryMs: () => EXPIRY_MS,
    });
  }

  async read(): Promise<void> {
    if (!this.fleet.isStoreUp) return;
    const read = await this.fleet.store.changes(SUSPECT_TABLE, this.version, 0);
    if (!read.ok) return;
    const {changes, version} = read.value;
    this.version = version;
    const put = changes.flatMap(one => (one.kind === 'put' ? [one.row] : []));
    const removed = changes.flatMap(one =>
      one.kind === 'removed'
        ? [{...one.ref, version: one.version, value: new Uint8Array()}]
        : [],
    );
    this.suspects.update({put, removed, storeTimeMs: 0});
  }
}

async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}

/** A fleet whose hosts have seen one crash each under the bad part. */
async function newFleet(hosts: number): Promise<Fleet> {
  const fleet = new Fleet();
  for (let i = 0; i < hosts; i++) fleet.add();
  await fleet.run(1000);
  for (const [i, {suspects}] of fleet.hosts.entries()) {
    suspects.recordBrokenRun(BAD, `t${i}`);
    await fleet.run(STEP_MS);
  }
  return fleet;
}

async function admissionsAt(hosts: readonly Host[]) {
  return Promise.all(hosts.map(({suspects}) => suspects.admit(BAD)));
}

// Guards against a part that is never found, because each host sees one crash.
test('hosts find a part together, and let sound requests through', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
  for (const {suspects} of fleet.hosts) {
    t.is(suspects.explanationOf('t0'), partKeyOf('s', 'bad'));
    t.is(suspects.explanationOf('other'), undefined);
    t.is(await suspects.admit(SOUND), 'free');
    t.is(await suspects.admit({...BAD, service: 'other'}), 'free');
  }
});

// Guards against a part that is never found because the hosts that have its
// requests have no others.
test('a part is found by hosts that have no requests with it', async t => {
  const fleet = await newFleet(3);
  const quiet = fleet.add();
  await fleet.run(3000, [quiet]);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
});

// Guards against a target that is lost for each host that tries again.
test('one request of the whole fleet tries a part again', async t => {
  const fleet = await newFleet(5);
  await fleet.run(9000);
  t.false((await admissionsAt(fleet.hosts)).includes('trial'));
  await fleet.run(5000);
  const admissions = await admissionsAt(fleet.hosts);
  t.deepEqual([...admissions].sort(), [
    'blocked',
    'blocked',
    'blocked',
    'blocked',
    'trial',
  ]);
  fleet.hosts[0]!.suspects.recordBrokenRun(BAD, 't9');
  await fleet.run(30_000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['blocked']));
});

test('a part that gets through again is free at all hosts', async t => {
  const fleet = await newFleet(5);
  await fleet.run(14_000);
  const admissions = await admissionsAt(fleet.hosts);
  fleet.hosts[admissions.indexOf('trial')]!.suspects.recordCompletedRun(BAD);
  await fleet.run(1000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['free']));
});

// Guards against targets that crash again because all hosts were lost.
test('a host that starts knows the verdicts', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  fleet.hosts.length = 0;
  const started = fleet.add();
  t.is(await started.suspects.admit(BAD), 'free');
  await started.read();
  t.is(await started.suspects.admit(BAD), 'blocked');
});

// Guards against a part that is held back for good because targets that live
// have lost connections.
test('targets that are still listed have not crashed', async t => {
  const fleet = await newFleet(5);
  await fleet.run(3000);
  for (const {directory} of fleet.hosts)
    for (let i = 0; i < 5; i++) directory.put(newTarget(`t${i}`));
  t.is((await admissionsAt(fleet.hosts))[0], 'blocked');
  await fleet.run(EXPIRY_MS + 3000);
  t.deepEqual(new Set(await admissionsAt(fleet.hosts)), new Set(['free']));
});

// Guards against hosts that refuse a part for minutes on the evidence that they
// had while they could not reach the store.
test('without the store a host decides for itself, and for a short time', async t => {
  const fleet = new Fleet();
  const host = fleet.add();
  const other = fleet.add();
  await fleet.run(1000);
  fleet.isStoreUp = false;
  for (let i = 0; i < 4; i++) host.suspects.recordBrokenRun(BAD, `t${i}`);
  await fleet.run(3000);
  t.deepEqual(await admissionsAt([host, other]), ['blocked', 'free']);
  await fleet.run(40_000);
  t.deepEqual(await admissionsAt([host, other]), ['free', 'free']);
  fleet.isStoreUp = true;
  await fleet.run(1000);
  t.deepEqual(await admissionsAt([host, other]), ['free', 'free']);
});
