import test from 'ava';
import {
  CLAIM_TURN_MS,
  claimRanks,
  ORPHAN_GRACE_MS,
  TURNS_PER_HOST,
} from '../../lib/process/claim_turns.js';

const HOSTS = 340;
/** Time within which items are due, in milliseconds. */
const DUE_MS = 18_000;
const STEP_MS = 100;

function ranksAt(orphanedForMs: number, ownerHasEnded = true, hosts = HOSTS) {
  const ranks = claimRanks({orphanedForMs, ownerHasEnded, hosts});
  if (!ranks) return [];
  const {from, to} = ranks;
  const others = [...Array(to - from).keys()].map(i => from + i);
  return [...new Set([0, ...others])];
}

test('the first host alone claims a job whose owner has ended', t => {
  t.deepEqual(ranksAt(0), [0]);
  t.deepEqual(ranksAt(CLAIM_TURN_MS - 1), [0]);
  t.deepEqual(ranksAt(CLAIM_TURN_MS), [0, 1]);
});

test('nobody claims a job at once whose owner is not known yet', t => {
  t.deepEqual(ranksAt(ORPHAN_GRACE_MS - 1, false), []);
  t.deepEqual(ranksAt(ORPHAN_GRACE_MS, false), [0]);
});

// Guards against items that are late since their job waits for one host after
// the other.
test('six hosts have had a turn before the items are due', t => {
  const tried = new Set<number>();
  for (let ms = 0; ms < DUE_MS; ms += STEP_MS)
    for (const rank of ranksAt(ms, false)) tried.add(rank);
  t.true(tried.size >= 6);
});

// Guards against a store that is kept busy by all hosts while it turns their
// claims down.
test('few of many hosts claim a job at a time', t => {
  for (let ms = 0; ms < 2 * HOSTS * CLAIM_TURN_MS; ms += STEP_MS)
    t.true(ranksAt(ms).length <= TURNS_PER_HOST + 1);
});

for (const hosts of [1, 2, 28, HOSTS])
  test(`each of ${hosts} hosts gets a turn, again and again`, t => {
    const roundMs = hosts * CLAIM_TURN_MS;
    for (const startMs of [0, roundMs]) {
      const tried = new Set<number>();
      for (let ms = startMs; ms < startMs + roundMs; ms += STEP_MS)
        for (const rank of ranksAt(ms, true, hosts)) tried.add(rank);
      t.is(tried.size, hosts);
    }
  });
