import test from 'ava';
import {NO_COUNTERS, seededRandom, workFingerprint} from '@oathead/core';
import type {ServeEvent, ServeOutcome} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import {MemoryPlatform} from '@oathead/stores';
import {StoreFaults, VirtualClock, faultyPlatform} from '@oathead/stand-ins';
import {AnswerStore} from '../../lib/process/answer_store.js';
import {ClaimStore} from '../../lib/process/claim_store.js';
import type {KeyedAnswer} from '../../lib/request/keyed_answer.js';
import {KeyedRequests} from '../../lib/request/keyed_requests.js';
import type {KeyedCall} from '../../lib/request/keyed_requests.js';
import {
  DONE,
  OneOwner,
  allOf,
  endText,
  overloaded,
  serveCall,
} from '../fakes.js';

const KEY = 'bank-a/k1';
const RETENTION_MS = 10_000;

interface World {
  readonly clock: VirtualClock;
  readonly faults: StoreFaults;
  readonly platform: ReturnType<typeof faultyPlatform>;
}

function world(): World {
  const clock = new VirtualClock();
  const faults = new StoreFaults(clock);
  return {
    clock,
    faults,
    platform: faultyPlatform(new MemoryPlatform(), faults),
  };
}

/** An entry's keyed requests; it counts how often it sends one to a target. */
function entry(
  {clock, platform}: World,
  entryId: string,
  end: () => ServeEvent = () => DONE,
  recalled: () => KeyedAnswer | undefined = () => undefined,
) {
  const membership = new OneOwner(entryId, 'e1');
  const random = seededRandom(entryId.length + entryId.charCodeAt(1));
  const base = {clock, random, counters: NO_COUNTERS, ...platform};
  const asMembership = membership as unknown as Membership;
  const answers = new AnswerStore(
    {...base, membership: asMembership},
    {flushMs: 100, flushCount: 8, maxUnwritten: 4, retentionMs: RETENTION_MS},
  );
  let sent = 0;
  const keyed = new KeyedRequests({
    clock,
    counters: NO_COUNTERS,
    claims: new ClaimStore({...base, membership: asMembership}),
    membership: asMembership,
    answers,
    dispatch: async function* () {
      sent++;
      yield {kind: 'started', version: 'v1'};
      yield end();
    },
    recall: {ofCall: async () => recalled(), ofKey: async () => recalled()},
  });
  const send = async (fields: Partial<KeyedCall> = {}) => {
    const call = {...serveCall({idempotent: false}), dedupeKey: KEY, ...fields};
    return endText(
      await allOf(keyed.serve(call, new AbortController().signal)),
    );
  };
  return {membership, answers, keyed, send, sent: () => sent};
}

async function settled<T>(clock: VirtualClock, task: Promise<T>): Promise<T> {
  let done = false;
  const finished = task.finally(() => (done = true));
  while (!done) await clock.advance(50);
  return finished;
}

// An officer's browser sends a decision twice at the same moment. Both get the
// one outcome.
test('two resends at the same time run once', async t => {
  const w = world();
  const home = entry(w, 'e1');
  const both = Promise.all([home.send(), home.send()]);
  t.deepEqual(await settled(w.clock, both), ['done', 'done']);
  t.is(home.sent(), 1);
});

test('a resend after the end gets the stored answer', async t => {
  const w = world();
  const home = entry(w, 'e1');
  await settled(w.clock, home.send());
  await w.clock.advance(500);
  t.is(home.answers.unwrittenCount, 0);
  t.is(await settled(w.clock, home.send()), 'done');
  t.is(home.sent(), 1);
});

test('the same key with other work is a conflict', async t => {
  const w = world();
  const home = entry(w, 'e1');
  await settled(w.clock, home.send());
  const other = {...serveCall().work, maxTokens: 3} as KeyedCall['work'];
  t.is(
    await settled(w.clock, home.send({work: other})),
    'key-conflict not-run',
  );
});

// A target that was thought lost answers after all, when the key's answer is
// written already. The first answer stands: the caller has been given it.
test('a late second answer of a key is dropped', async t => {
  const w = world();
  const home = entry(w, 'e1');
  await settled(w.clock, home.send());
  await w.clock.advance(500);
  const work = workFingerprint(serveCall().work);
  const late = {...DONE, answer: {kind: 'response', status: 200, body: 'x'}};
  home.answers.add({key: KEY, work, outcome: late as ServeOutcome});
  await w.clock.advance(500);
  t.deepEqual(await home.keyed.find(KEY), DONE);
});

test('keys are forgotten after the retention, with their claims', async t => {
  const w = world();
  const home = entry(w, 'e1');
  await settled(w.clock, home.send());
  await w.clock.advance(RETENTION_MS / 2);
  await home.answers.sweep();
  t.is((await home.keyed.find(KEY))?.kind, 'done');
  await w.clock.advance(RETENTION_MS);
  await settled(w.clock, home.answers.sweep());
  t.is(await home.keyed.find(KEY), undefined);
  t.is(await settled(w.clock, home.send()), 'done');
  t.is(home.sent(), 2);
});

// An entry answers a call-out and dies before the answer is written; the
// call-out comes again through another entry. The target that remembers the
// answer gives it, and the pilot is not called twice.
test('an answer that its home had not written is recalled', async t => {
  const w = world();
  const first = entry(w, 'e1');
  await settled(w.clock, first.send());
  const work = workFingerprint(serveCall().work);
  const remembered = {key: KEY, work, outcome: DONE};
  const second = entry(w, 'e2', undefined, () => remembered);
  second.membership.take();
  t.is(await settled(w.clock, second.send()), 'done');
  t.is(second.sent(), 0);
});

// The same, but the caller only reads its answer again.
test('an answer that its home had not written is read at the targets', async t => {
  const w = world();
  const work = workFingerprint(serveCall().work);
  const remembered = {key: KEY, work, outcome: DONE};
  const second = entry(w, 'e2', undefined, () => remembered);
  second.membership.take();
  t.deepEqual(await settled(w.clock, second.keyed.find(KEY)), DONE);
});

// The same, but the target is lost with its memory too. Whether the pilot was
// called is not known: the resend is told so, and nobody is called.
test('a claim whose outcome is lost bars every resend', async t => {
  const w = world();
  const first = entry(w, 'e1');
  await settled(w.clock, first.send());
  const second = entry(w, 'e2');
  second.membership.take();
  const end = await settled(w.clock, second.send());
  t.is(end, 'outcome-unknown may-have-run');
  t.is(second.sent(), 0);
});

// The store goes down before a call-out is claimed. It is refused as not run,
// which is true; when the store is back the resend runs, once.
test('without the store a call that may run only once is not run', async t => {
  const w = world();
  const home = entry(w, 'e1');
  await settled(w.clock, home.send({dedupeKey: 'bank-a/other'}));
  const sent = home.sent();
  const outage = w.faults.add({fault: {kind: 'down'}});
  const refused = await settled(w.clock, home.send());
  t.is(refused, 'store-unavailable not-run');
  t.is(home.sent(), sent);
  outage[Symbol.dispose]();
  t.is(await settled(w.clock, home.send()), 'done');
  t.is(home.sent(), sent + 1);
});

// The claim is written but the store's answer is lost. The entry must know its
// own claim again, or a call-out that never ran could never run.
test('a claim whose answer was lost is known again', async t => {
  const w = world();
  const home = entry(w, 'e1');
  await settled(w.clock, home.send({dedupeKey: 'bank-a/other'}));
  w.faults.add({
    fault: {kind: 'answer-lost'},
    matches: call => call.keys.includes(`once/0/${KEY}`),
    times: 1,
  });
  t.is(await settled(w.clock, home.send()), 'done');
  t.is(home.sent(), 2);
});

// Every target is full: the call-out was claimed but not sent. The pilot's
// dispatcher asks again, through another entry, and this time it must run.
test('a claim that was not used does not bar the resend', async t => {
  const w = world();
  const first = entry(w, 'e1', overloaded);
  t.is(await settled(w.clock, first.send()), 'overloaded not-run');
  const second = entry(w, 'e2');
  t.is(await settled(w.clock, second.send()), 'done');
});

// An outage of the store lasts. Answers are held in memory up to a bound, and
// beyond it new requests are refused: none that was given is ever lost.
test('answers outlast an outage of the store, within a bound', async t => {
  const w = world();
  const home = entry(w, 'e1');
  const send = (nth: number) =>
    settled(
      w.clock,
      home.send({idempotent: true, dedupeKey: `bank-a/n${nth}`}),
    );
  await send(0);
  await w.clock.advance(500);
  const outage = w.faults.add({fault: {kind: 'down'}});
  for (const nth of [1, 2, 3, 4]) t.is(await send(nth), 'done');
  t.is(await send(5), 'store-unavailable not-run');
  outage[Symbol.dispose]();
  await w.clock.advance(1000);
  t.is(home.answers.unwrittenCount, 0);
  const reader = entry(w, 'e2');
  t.is((await reader.keyed.find('bank-a/n4'))?.kind, 'done');
});
