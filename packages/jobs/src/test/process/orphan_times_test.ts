import test from 'ava';
import {OrphanTimes} from '../../lib/process/orphan_times.js';
import {OPEN_JOB} from '../fakes/ownership_fleet.js';

const ORPHAN = {head: OPEN_JOB, version: 1};

test('the age of an orphan counts from when it was first seen', t => {
  const times = new OrphanTimes();
  t.true(times.note(ORPHAN, 100));
  t.false(times.note(ORPHAN, 600));
  t.is(times.ageMs('j', 1100), 1000);
  t.is(times.longestMs(1100), 1000);
  times.clear('j');
  t.is(times.size, 0);
  t.is(times.ageMs('j', 1100), 0);
});

// Guards against a job that is taken from its new owner by hosts that have
// waited for the old one.
test('the age starts anew with another owner', t => {
  const times = new OrphanTimes();
  times.note(ORPHAN, 100);
  const head = {...OPEN_JOB, owner: 'next'};
  t.true(times.note({head, version: 2}, 1100));
  t.is(times.ageMs('j', 1100), 0);
});

test('the age starts anew with another version, which is told once', t => {
  const times = new OrphanTimes();
  times.note(ORPHAN, 100);
  t.false(times.note({...ORPHAN, version: 2}, 1100));
  t.is(times.ageMs('j', 1100), 0);
});

// Guards against a job that is taken from a live owner, which some hosts wrongly
// take for dead, by each of them in turn.
test('the age starts anew with each head that the owner writes', t => {
  const times = new OrphanTimes();
  times.note(ORPHAN, 100);
  times.recordWrite('another', 1000);
  t.is(times.ageMs('j', 1100), 1000);
  times.recordWrite(OPEN_JOB.owner, 1000);
  t.is(times.ageMs('j', 1100), 100);
  t.is(times.longestMs(1100), 1000);
});
