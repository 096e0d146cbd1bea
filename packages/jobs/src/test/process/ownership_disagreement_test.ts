/** Two hosts that may disagree on who is alive, and a job that one of them owns. */
import {setTimeout} from 'node:timers/promises';
import {
  DisposableStore,
  NO_COUNTERS,
  NO_EVENT_LOG,
  NO_LATENCIES,
  rendezvous,
  seededRandom,
  success,
  SYSTEM_CLOCK,
} from '@oathead/core';
import {
  MEMBER_TABLE,
  memberId,
  Membership,
  type Member,
} from '@oathead/gateway';
import {
  encodeJson,
  MemoryRowStore,
  TableWatch,
  type RowPut,
  type TableUpdate,
} from '@oathead/stores';
import test from 'ava';
import {JobOwnership} from '../../lib/process/job_ownership.js';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  HEAD_TABLE,
  headRef,
  JOB_PARTITIONS,
  type JobHead,
} from '../../lib/request/job_rows.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

const HEAD: JobHead = {
  id: 'j',
  hostName: 'h',
  items: 1,
  acceptedAtMs: 0,
  completionGoalMs: 1,
  retentionMs: 1,
  maxAttempts: 1,
  owner: '',
  state: 'open',
  listed: 0,
  failures: {},
  nonce: 'first',
  content: {kind: 'rows', pieces: 1},
};
const READER = {
  items: async () =>
    success([{id: 'i', path: '/', headers: {}, body: Buffer.of(), tokens: 1}]),
  allResults: async () => success([]),
} as unknown as JobReader;
const WATCH = {waitMs: 100, pauseMs: 20, fullReadMs: 60_000, pageRows: 100};
const LIMITS = {
  rowBytes: 1024,
  transactionBytes: 1024,
  objectBytes: 1024,
  acrossPartitions: true,
};

function memberOf(host: string, nonce: string): Member {
  const id = memberId(host, nonce);
  const addresses = {
    ip: '127.0.0.1',
    loadPort: 1,
    controlAddress: '127.0.0.1:2',
  };
  return {id, host, dataCentre: 'a', ...addresses};
}

function heartbeatOf(member: Member): RowPut {
  const ref = {table: MEMBER_TABLE, partition: '', key: member.host};
  return {...ref, value: encodeJson(member)};
}

/** A host that keeps its lease and takes up jobs. */
class Host implements Disposable {
  readonly membership: Membership;
  readonly log = new RecordedEvents();
  private readonly disposables = new DisposableStore();

  constructor(
    name: string,
    private readonly store: MemoryRowStore,
    /** Whether it hears of other hosts from the store, and they of it. */
    {isFed = true} = {},
  ) {
    const context = {store, clock: SYSTEM_CLOCK, counters: NO_COUNTERS};
    this.membership = this.disposables.add(
      new Membership(memberOf(name, 'now'), {...context, log: NO_EVENT_LOG}),
    );
    const ownership = this.disposables.add(
      new JobOwnership({
        ...context,
        random: seededRandom(1),
        log: this.log,
        latencies: NO_LATENCIES,
        limits: LIMITS,
        reader: READER,
        membership: this.membership,
        tellOwner: () => {},
      }),
    );
    const watch = (
      table: string,
      partitions: readonly string[],
      onUpdate: (update: TableUpdate) => void,
    ) => {
      const options = {table, partitions, ...WATCH};
      const watched = new TableWatch(
        options,
        {...context, log: NO_EVENT_LOG},
        onUpdate,
      );
      this.disposables.add(watched).start();
    };
    const {membership} = this;
    watch(HEAD_TABLE, JOB_PARTITIONS, update => ownership.update(update));
    if (isFed) {
      watch(MEMBER_TABLE, [''], update => membership.update(update));
      membership.start();
    }
    ownership.start();
  }

  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  async write(row: RowPut): Promise<void> {
    await this.store.transact({expect: [], puts: [row], removes: []});
  }

  count(event: string): number {
    return this.log.events.filter(({name}) => name === event).length;
  }
}

const BUILDS = [
  ['ended incarnations', 0],
  ['ended incarnations of the build before', undefined],
] as const;

// Guards against two live hosts that take a job from each other in turn and end
// its runs each time: after a loss of all hosts, a late heartbeat of the
// incarnation before shut each of them out at the other one.
for (const [build, startedAtMs] of BUILDS)
  test(`a job stays with its owner after late heartbeats of ${build}`, async t => {
    const store = new MemoryRowStore(SYSTEM_CLOCK);
    using first = new Host('first', store);
    using second = new Host('second', store);
    const hosts = [first, second];
    await setTimeout(300);
    for (const {membership} of hosts) {
      const ended = memberOf(membership.self.host, 'ended');
      await first.write(heartbeatOf({...ended, startedAtMs}));
    }
    await setTimeout(1200);
    const head = {...HEAD, owner: first.membership.self.id};
    await first.write({...headRef(head.id), value: encodeJson(head)});
    await setTimeout(4000);
    t.true(first.membership.holdsLease(second.membership.self.id));
    t.true(second.membership.holdsLease(first.membership.self.id));
    const total = (event: string) => first.count(event) + second.count(event);
    t.deepEqual(
      ['job-claimed', 'job-let-go', 'job-adopted'].map(total),
      [0, 0, 1],
    );
  });

/** As far apart as relayed responses after a call that got no response. */
const SELDOM_MS = 1600;

// Guards against a job that nobody runs: its owner is dead, and the host that
// comes first for it never sees the lease of the owner lapse, as each response
// of the store comes late to it.
test('a job of a dead owner is claimed where responses of the store are seldom', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  using host = new Host('first', store, {isFed: false});
  const dead = memberOf('dead', 'now');
  const live = memberOf('live', 'now');
  const {membership} = host;
  const ids = [membership.self.id, live.id];
  const jobs = [...Array(20).keys()].map(i => `j${i}`);
  const id = jobs.find(job => rendezvous(job, ids)[0] === membership.self.id)!;
  await host.write({
    ...headRef(id),
    value: encodeJson({...HEAD, id, owner: dead.id}),
  });
  for (let i = 0; i < 10; i++) {
    const put = (i === 0 ? [dead, live] : [live]).map(member => ({
      ...heartbeatOf(member),
      version: i + 1,
    }));
    const storeTimeMs = 1000 + i * SELDOM_MS;
    membership.update({put, removed: [], storeTimeMs});
  }
  await setTimeout(1200);
  t.true(membership.holdsLease(live.id));
  t.is(host.count('job-claimed'), 1);
  t.is(host.count('job-adopted'), 1);
});
