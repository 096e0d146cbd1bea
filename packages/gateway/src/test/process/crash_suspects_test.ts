import {NO_EVENT_LOG, SYSTEM_CLOCK, type Clock} from '@oathead/core';
import {MemoryRowStore} from '@oathead/stores';
import test from 'ava';
import {CrashRecords} from '../../lib/process/crash_records.js';
import {CrashSuspects} from '../../lib/process/crash_suspects.js';
import {SUSPECT_TABLE} from '../../lib/process/suspect_table.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {settlePromises} from '../fakes/suspect_fleet.js';
import {newTarget} from '../fakes/targets.js';

/** Three heartbeat intervals of 1.2 s. */
const EXPIRY_MS = 3600;
/**
 * Exceeds the expiry time plus the time within which all hosts have read the
 * list.
 */
const EXPIRY_KNOWN_MS = 8000;
const READ_EVERY_MS = 250;
const PROMPT = {service: 's', sharedParts: ['first']};
const TARGETS = ['i-1', 'i-2', 'i-3'] as const;

/** Creates suspects and a target list with a clock that the test controls. */
function newSuspects(sharedStore?: MemoryRowStore) {
  let now = 0;
  const clock: Clock = {...SYSTEM_CLOCK, now: () => now};
  const store = sharedStore ?? new MemoryRowStore(clock);
  const log = NO_EVENT_LOG;
  const directory = new TargetDirectory({clock, log});
  const expiryMs = () => EXPIRY_MS;
  const explained = new Set<string>();
  const records = new CrashRecords({store, clock, log});
  return {
    explained,
    suspects: new CrashSuspects({
      explanationOf: id => (explained.has(id) ? 'part' : undefined),
      store,
      records,
      clock,
      log,
      directory,
      expiryMs,
    }),
    directory,
    store,
    advance: (ms: number) => {
      now += ms;
    },
    /** Advances the clock with regular reads of the list. */
    advanceWithReads: (ms: number) => {
      for (let i = 0; i < ms; i += READ_EVERY_MS) {
        now += READ_EVERY_MS;
        directory.recordListRead();
      }
    },
  };
}

function updateOf(requestFingerprint: string, targets: readonly string[]) {
  const value = Buffer.from(JSON.stringify({targets, at: Date.now()}));
  const row = {
    table: SUSPECT_TABLE,
    partition: '',
    key: requestFingerprint,
    value,
    version: 1,
  };
  return {put: [row], removed: [], storeTimeMs: 0};
}

// One request crashes server after server, and each of them comes back under
// its ID. Every incarnation of a server must count.
test('each crashed incarnation of one server counts', t => {
  const {suspects} = newSuspects();
  for (const id of ['i-1@1', 'i-1@2'])
    suspects.recordBrokenRun('p', id, PROMPT);
  t.false(suspects.isBlocked('p'));
  suspects.recordBrokenRun('p', 'i-1@3', PROMPT);
  t.true(suspects.isBlocked('p'));
});

// Two hosts see the same request crash different targets and record it
// concurrently. Neither write may discard what the other host knows.
test('targets that two hosts recorded for a request are merged', t => {
  const {suspects} = newSuspects();
  suspects.recordBrokenRun('p', 'a', PROMPT);
  suspects.update(updateOf('p', ['a', 'b']));
  t.false(suspects.isBlocked('p'));
  suspects.update(updateOf('p', ['c']));
  t.true(suspects.isBlocked('p'));
});

/** Lists three targets and lets the same request break at each of them. */
function brokenAtThree() {
  const parts = newSuspects();
  parts.directory.recordListRead();
  for (const id of TARGETS) parts.directory.put(newTarget(id));
  for (const id of TARGETS) parts.suspects.recordBrokenRun('p', id, PROMPT);
  return parts;
}

// A harmless item is delayed by a minute: three live servers lost its
// responses. They are still listed when the entry of a crashed server would
// have expired.
test('targets that stay listed do not count as crashed', t => {
  const {suspects, advanceWithReads} = brokenAtThree();
  t.true(suspects.isBlocked('p'));
  advanceWithReads(EXPIRY_KNOWN_MS);
  t.false(suspects.isBlocked('p'));
});

// A poison request is sent again too early. Only those of its three servers
// that stay alive may be removed from its record.
test('targets that left the list still count as crashed', t => {
  const {suspects, directory, advanceWithReads} = brokenAtThree();
  directory.remove('i-1', 0);
  advanceWithReads(EXPIRY_KNOWN_MS);
  t.false(suspects.isBlocked('p'));
  for (const id of ['i-2', 'i-3']) directory.remove(id, 0);
  t.true(suspects.isBlocked('p'));
});

// A poison request crashes server after server while the list cannot be read.
// That a server is listed in the last state read does not prove that it is
// alive.
test('a list that is not being read does not prove that targets are alive', t => {
  const {suspects, directory, advanceWithReads, advance} = brokenAtThree();
  advance(EXPIRY_KNOWN_MS);
  t.true(suspects.isBlocked('p'));
  directory.recordListRead();
  t.true(suspects.isBlocked('p'));
  advanceWithReads(EXPIRY_KNOWN_MS);
  t.false(suspects.isBlocked('p'));
});

/**
 * Like {@link brokenAtThree}, and all three targets leave the list: they
 * crashed.
 */
function crashedThree() {
  const parts = brokenAtThree();
  for (const id of TARGETS) parts.directory.remove(id, 0);
  return parts;
}

// A poison request is retried by its caller at any host. One more run at each
// host would cost one more target for each host.
test('requests get no additional run', t => {
  const {suspects, advanceWithReads} = crashedThree();
  advanceWithReads(EXPIRY_KNOWN_MS);
  t.true(suspects.isBlocked('p'));
});

// Guards against a harmless request that nobody runs any more: runs of it broke
// off at four targets that are alive, and the host that is asked has just started
// and does not know for how long they have been listed.
test('a request that broke off at four live targets is not blocked for good', async t => {
  const ids = [...TARGETS, 'i-4'];
  const startedOwner = () => {
    const parts = newSuspects();
    parts.directory.recordListRead();
    for (const id of ids) parts.directory.put(newTarget(id));
    for (const id of ids) parts.suspects.recordBrokenRun('p', id, PROMPT);
    t.true(parts.suspects.isBlocked('p'));
    return parts;
  };
  const followed = startedOwner();
  followed.advanceWithReads(EXPIRY_KNOWN_MS);
  t.false(followed.suspects.isBlocked('p'));
  const interrupted = startedOwner();
  for (let ms = 0; ms < 60_000; ms += 6000) {
    interrupted.advanceWithReads(4000);
    interrupted.advance(2000);
  }
  t.is(await interrupted.suspects.admit('p'), 'trial');
});

/** Reads the changes of the suspects after a version, as their watch does. */
async function updateFrom(store: MemoryRowStore, after: number) {
  const page = await store.changes(SUSPECT_TABLE, after, 0);
  const {changes, version} = page.ok
    ? page.value
    : {changes: [], version: after};
  const put = changes.flatMap(c => (c.kind === 'put' ? [c.row] : []));
  const removed = changes.flatMap(c =>
    c.kind === 'removed'
      ? [{...c.ref, value: Buffer.of(), version: c.version}]
      : [],
  );
  return {update: {put, removed, storeTimeMs: 0}, version};
}

// Guards against a harmless request that is held for a minute at the hosts that do
// not know that it was answered at the one that recorded its crashes.
test('a request that is answered is cleared on all hosts', async t => {
  const {suspects, store} = crashedThree();
  await settlePromises();
  const other = newSuspects(store);
  const crashed = await updateFrom(store, 0);
  other.suspects.update(crashed.update);
  t.true(other.suspects.isBlocked('p'));
  suspects.recordCompletedRun('p', suspects.now());
  const answered = await updateFrom(store, crashed.version);
  other.suspects.update(answered.update);
  t.false(other.suspects.isBlocked('p'));
  const late = newSuspects(store);
  late.suspects.update((await updateFrom(store, 0)).update);
  t.false(late.suspects.isBlocked('p'));
});

// Guards against a harmless request that is held for a minute because it ran on
// four targets that requests with a bad part of their prompts have crashed.
test('crashes that a guilty part explains do not block other requests', t => {
  const {suspects, explained} = newSuspects();
  const ids = [...TARGETS, 'i-4'];
  for (const id of ids) suspects.recordBrokenRun('p', id, PROMPT);
  t.true(suspects.isBlocked('p'));
  for (const id of ids.slice(2)) explained.add(id);
  t.false(suspects.isBlocked('p'));
  suspects.recordBrokenRun('p', 'i-5', PROMPT);
  t.true(suspects.isBlocked('p'), 'three crashes that nothing explains');
});
