/** Two hosts that may disagree on who is alive, and a job that one of them owns. */
import {setTimeout} from 'node:timers/promises';
import {
  NO_COUNTERS,
  NO_EVENT_LOG,
  NO_LATENCIES,
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
  return {id, host, dataCentre: 'a', ip: '', loadPort: 1, controlAddress: ''};
}

function heartbeatOf(member: Member): RowPut {
  const ref = {table: MEMBER_TABLE, partition: '', key: member.host};
  return {...ref, value: encodeJson(member)};
}

/** A host that keeps its lease and takes up jobs. */
class Host implements Disposable {
  readonly membership: Membership;
  readonly log = new RecordedEvents();
  private readonly ownership: JobOwnership;
  private readonly parts: Disposable[];

  constructor(
    name: string,
    private readonly store: MemoryRowStore,
  ) {
    const context = {store, clock: SYSTEM_CLOCK, counters: NO_COUNTERS};
    this.membership = new Membership(memberOf(name, 'now'), {
      ...context,
      log: NO_EVENT_LOG,
    });
    this.ownership = new JobOwnership({
      ...context,
      random: seededRandom(1),
      log: this.log,
      latencies: NO_LATENCIES,
      limits: LIMITS,
      reader: READER,
      membership: this.membership,
    });
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
      watched.start();
      return watched;
    };
    const {membership, ownership} = this;
    this.parts = [
      watch(MEMBER_TABLE, [''], update => membership.update(update)),
      watch(HEAD_TABLE, JOB_PARTITIONS, update => ownership.update(update)),
      membership,
      ownership,
    ];
    membership.start();
    ownership.start();
  }

  [Symbol.dispose](): void {
    for (const part of this.parts) part[Symbol.dispose]();
  }

  async write(row: RowPut): Promise<void> {
    await this.store.transact({expect: [], puts: [row], removes: []});
  }

  count(event: string): number {
    return this.log.events.filter(({name}) => name === event).length;
  }
}

// Guards against two live hosts that take a job from each other in turn and end
// its runs each time: after a loss of all hosts, a late heartbeat of the
// incarnation before shut each of them out at the other one.
test('a job stays with its owner after late heartbeats of ended incarnations', async t => {
  const store = new MemoryRowStore(SYSTEM_CLOCK);
  using first = new Host('first', store);
  using second = new Host('second', store);
  const hosts = [first, second];
  await setTimeout(300);
  for (const {membership} of hosts) {
    const ended = memberOf(membership.self.host, 'ended');
    await first.write(heartbeatOf({...ended, startedAtMs: 0}));
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
