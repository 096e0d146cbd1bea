/** The log lines that tell why a job has no owner that works on it. */
import {failure, rendezvous} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  EMPTY_READER,
  OPEN_JOB,
  OwnershipFleet,
} from '../fakes/ownership_fleet.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

const HOSTS = ['a', 'b', 'c'];
const JOBS = 30;
const SECONDS = 5;
const SECOND_MS = 1000;

/** A store that refuses all writes. */
class RefusingStore extends MemoryRowStore {
  override async transact() {
    return failure({kind: 'refused', message: 'busy'} as const);
  }
}

/** Hosts that know an orphan which none of them can claim. */
async function fleetWithOrphans(jobs: number) {
  const fleet = new OwnershipFleet();
  const store = new RefusingStore(new VirtualClock());
  for (const name of HOSTS) fleet.add(name, {store});
  for (let i = 0; i < jobs; i++) await fleet.write({...OPEN_JOB, id: `j${i}`});
  await fleet.advance(SECONDS * SECOND_MS);
  return fleet;
}

// Guards against an accepted job that nobody runs and of which no log tells
// why: whether a host knew it, and which host was to claim it.
test('each host tells once that a job has no live owner', async t => {
  using fleet = await fleetWithOrphans(1);
  const order = rendezvous('j0', HOSTS);
  for (const host of fleet.hosts)
    t.like(host.lines('job-orphaned'), [
      {
        job: 'j0',
        owner: 'ended',
        absence: 'replaced',
        first: order[0],
        rank: order.indexOf(host.name),
        hosts: HOSTS.length,
      },
    ]);
});

test('a host tells once a second how many jobs have no live owner', async t => {
  using fleet = await fleetWithOrphans(JOBS);
  for (const host of fleet.hosts) {
    const lines = host.lines('jobs-without-owner');
    t.is(lines.length, SECONDS);
    t.like(lines.at(-1), {open: JOBS, owned: 0, orphans: JOBS});
    t.true(Number(lines.at(-1)!['longestMs']) > (SECONDS - 2) * SECOND_MS);
    t.is(host.log.counts['jobs_orphaned replaced'], JOBS);
  }
});

// Guards against a log that is flooded after the loss of all hosts, when each
// host finds all open jobs without an owner at once.
test('few of many jobs without an owner have a line of their own', async t => {
  using fleet = await fleetWithOrphans(JOBS);
  for (const host of fleet.hosts) t.is(host.lines('job-orphaned').length, 20);
});

test('no line is written while all jobs have a live owner', async t => {
  using fleet = new OwnershipFleet();
  const host = fleet.add('a');
  await fleet.write({...OPEN_JOB, owner: 'a'});
  await fleet.advance(SECONDS * SECOND_MS);
  t.deepEqual(host.jobs, ['j']);
  t.deepEqual(
    host.log.events.map(({name}) => name),
    ['job-adopted'],
  );
});

test('a job that its owner cannot read is named with each doubling of its attempts', async t => {
  using fleet = new OwnershipFleet();
  const unsure = async () =>
    failure({kind: 'unsure', reason: 'unreadable'} as const);
  const reader = {...EMPTY_READER, items: unsure} as unknown as JobReader;
  const host = fleet.add('a', {reader});
  await fleet.write({...OPEN_JOB, owner: 'a'});
  await fleet.advance(SECONDS * SECOND_MS);
  const lines = host.lines('job-adoption-failed');
  t.like(lines[0], {job: 'j', how: 'handed over', reason: 'unreadable'});
  t.deepEqual(
    lines.map(({attempt}) => attempt),
    [1, 2, 4, 8],
  );
});

test('a job that is cancelled while it is read is named', async t => {
  using fleet = new OwnershipFleet();
  const host = fleet.add('a');
  const {head, version} = await fleet.write({...OPEN_JOB, owner: 'a'});
  await fleet.write({...head, state: 'ended', nonce: 'end'});
  host.ownership.adoptAccepted({head, version});
  await host.follow();
  await fleet.advance(SECOND_MS);
  t.like(host.lines('job-adoption-dropped'), [{job: 'j', reason: 'closed'}]);
});
