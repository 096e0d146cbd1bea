import test from 'ava';
import type {
  AdmissionAction,
  AdmissionRequest,
} from '../../lib/process/admission.js';
import {TargetAdmission} from '../../lib/process/target_admission.js';
import type {PoolConfig} from '../../lib/version/target_config.js';

const MODEL: PoolConfig = {
  pool: 'review-llm',
  kind: 'model',
  batch: {throughputWeight: 0.5, maxHarm: 1.35},
  firstTokenMs: 390,
  betweenTokensMs: 40,
  maxOnline: 6,
};
const SERVICE: PoolConfig = {...MODEL, pool: 'limit-api', kind: 'service'};

function request(
  id: string,
  fields: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    id,
    pool: 'review-llm',
    class: 'online',
    caller: 'bank-a',
    promptTokens: 100,
    maxTokens: 50,
    deadline: 60_000,
    suspect: false,
    resumedTokens: 0,
    ...fields,
  };
}

function configured(): TargetAdmission {
  const admission = new TargetAdmission();
  const pools = [MODEL, SERVICE];
  admission.handle({kind: 'config', pools, callerWeights: {}}, 0);
  return admission;
}

function arrive(
  admission: TargetAdmission,
  now: number,
  ...requests: readonly AdmissionRequest[]
): readonly AdmissionAction[] {
  return requests.flatMap(request =>
    admission.handle({kind: 'arrived', request}, now),
  );
}

const kinds = (actions: readonly AdmissionAction[]) =>
  actions.map(action => `${action.kind} ${action.id}`);

/**
 * Runs steps of 10 ms plus 0.5 ms per stream. Each gives every stream a token.
 *
 * @returns The time after the last step, in milliseconds.
 */
function runSteps(
  admission: TargetAdmission,
  ids: readonly string[],
  from: number,
  count: number,
): number {
  let now = from;
  for (let step = 0; step < count; step++) {
    now += 10 + 0.5 * ids.length;
    for (const id of ids) {
      const kind = step === 0 ? 'first-token' : 'tokens';
      admission.handle({kind, id, count: 1} as never, now);
    }
  }
  return now;
}

test('starts online requests, then queues, then refuses them as not run', t => {
  const admission = configured();
  const ids = Array.from({length: 20}, (unused, i) => `r${i}`);
  const actions = arrive(admission, 0, ...ids.map(id => request(id)));
  const started = actions.filter(({kind}) => kind === 'start');
  t.is(started.length, MODEL.maxOnline);
  const refused = actions.filter(action => action.kind === 'refuse');
  t.is(refused.length + admission.load().onlineQueued, 20 - MODEL.maxOnline);
  t.true(refused.length > 0);
  for (const {refusal} of refused) {
    t.is(refusal.kind, 'overloaded');
    t.is(refusal.ran, 'not-run');
    t.true(refusal.retryAfterMs! > 0);
  }
});

test('an online arrival preempts the newest batch streams at once', t => {
  // An online request arrives while batch work fills the engine. If batch
  // streams were only left to finish, steps would stay too long until then.
  const admission = configured();
  const batch = ['b0', 'b1', 'b2', 'b3'];
  // Enough requests for the baseline p99 to be used.
  const online = Array.from({length: 100}, (unused, i) => `r${i}`);
  let now = 0;
  for (const id of online) {
    arrive(admission, now, request(id));
    now = runSteps(admission, [id], now, 80);
    admission.handle({kind: 'ended', id, how: 'done'}, now);
  }
  arrive(admission, now, ...batch.map(id => request(id, {class: 'batch'})));
  now = runSteps(admission, batch, now, 80);
  t.is(admission.load().batchRunning, batch.length);
  // Shortly before the step ends, because preemption cannot shorten the
  // remainder of a step, which delays the first token.
  const actions = arrive(admission, now + 11.9, request('late'));
  t.is(actions.at(-1)!.kind, 'start');
  const preempted = actions
    .filter(({kind}) => kind === 'preempt')
    .map(({id}) => id);
  t.true(preempted.length > 0 && preempted.length < batch.length);
  t.deepEqual(preempted, batch.toReversed().slice(0, preempted.length));
  t.is(admission.load().batchRunning, batch.length - preempted.length);
});

test('preempts all batch streams while the baseline tail is unknown', t => {
  // Under low traffic there are few online requests, and the slowest of a few
  // is no p99. If it is used as one, an ordinary request waits behind an engine
  // full of batch work.
  const admission = configured();
  const batch = ['b0', 'b1', 'b2', 'b3'];
  let now = 0;
  for (const id of Array.from({length: 30}, (unused, i) => `r${i}`)) {
    arrive(admission, now, request(id));
    now = runSteps(admission, [id], now, 80);
    admission.handle({kind: 'ended', id, how: 'done'}, now);
  }
  arrive(admission, now, ...batch.map(id => request(id, {class: 'batch'})));
  now = runSteps(admission, batch, now, 80);
  const actions = arrive(admission, now + 11.9, request('late'));
  const preempts = batch.toReversed().map(id => `preempt ${id}`);
  t.deepEqual(kinds(actions), [...preempts, 'start late']);
});

test('runs a suspect request alone', t => {
  const admission = configured();
  arrive(admission, 0, request('b0', {class: 'batch'}));
  const waits = arrive(admission, 1, request('s0', {suspect: true}));
  t.deepEqual(kinds(waits), ['preempt b0']);
  const starts = admission.handle(
    {kind: 'ended', id: 'b0', how: 'preempted'},
    2,
  );
  t.deepEqual(kinds(starts), ['start s0']);
  t.deepEqual(kinds(arrive(admission, 3, request('r0'))), []);
  const after = admission.handle({kind: 'ended', id: 's0', how: 'failed'}, 9);
  t.deepEqual(kinds(after), ['start r0']);
});

// When a target crashes with many batch items in flight, every item comes back
// as a suspect. If batch work is started while the engine is being emptied for
// a suspect, it is preempted for the next suspect and started again, in an
// endless loop within one turn of the event loop.
test('many batch suspects run one after the other', t => {
  const admission = configured();
  const suspects = ['s0', 's1', 's2'];
  const batch = ['b0', 'b1'];
  const all = [...batch, ...suspects].map(id =>
    request(id, {class: 'batch', suspect: id.startsWith('s')}),
  );
  const actions = [...arrive(admission, 0, ...all)];
  const ended: string[] = [];
  let handled = 0;
  for (let now = 1; handled < actions.length && now < 100; now++) {
    const {kind, id} = actions[handled++]!;
    if (kind === 'give-back') continue;
    const how = kind === 'preempt' ? 'preempted' : 'done';
    const preempted = actions
      .slice(handled)
      .some(next => next.kind === 'preempt' && next.id === id);
    if (kind === 'start' && preempted) continue;
    actions.push(...admission.handle({kind: 'ended', id, how}, now));
    if (how === 'done') ended.push(id);
    if (how !== 'preempted') continue;
    const again = request(id, {class: 'batch'});
    actions.push(...admission.handle({kind: 'arrived', request: again}, now));
  }
  t.deepEqual(ended.toSorted(), [...batch, ...suspects].toSorted());
});

// An online request arrives while a batch suspect runs alone on the engine. The
// online request must not wait for the batch item to finish.
test('a batch suspect is preempted for online work', t => {
  const admission = configured();
  const suspect = request('s0', {class: 'batch', suspect: true});
  t.deepEqual(kinds(arrive(admission, 0, suspect)), ['start s0']);
  t.deepEqual(kinds(arrive(admission, 1, request('r0'))), ['preempt s0']);
  const freed = admission.handle(
    {kind: 'ended', id: 's0', how: 'preempted'},
    2,
  );
  t.deepEqual(kinds(freed), ['start r0']);
  t.deepEqual(kinds(arrive(admission, 3, suspect)), []);
  const alone = admission.handle({kind: 'ended', id: 'r0', how: 'done'}, 4);
  t.deepEqual(kinds(alone), ['start s0']);
});

test('returns queued batch work and refuses new work while draining', t => {
  const admission = configured();
  const batch = Array.from({length: 12}, (unused, i) =>
    request(`b${i}`, {class: 'batch'}),
  );
  arrive(admission, 0, ...batch);
  const waiting = admission.load().batchQueued;
  t.true(waiting > 0);
  const actions = admission.handle({kind: 'leaving'}, 1);
  t.is(actions.filter(({kind}) => kind === 'give-back').length, waiting);
  t.is(admission.load().batchRoom, 0);
  const [refused] = arrive(admission, 2, request('r0'));
  t.true(refused!.kind === 'refuse' && refused!.refusal.kind === 'leaving');
  const returned = arrive(admission, 2, request('b99', {class: 'batch'}));
  t.deepEqual(kinds(returned), ['give-back b99']);
});

test('refuses a queued request as soon as its deadline has passed', t => {
  const admission = configured();
  const ids = Array.from({length: 7}, (unused, i) => `r${i}`);
  arrive(admission, 0, ...ids.map(id => request(id, {deadline: 500})));
  t.is(admission.load().onlineQueued, 1);
  const [refused] = admission.handle({kind: 'tick'}, 501);
  t.true(
    refused!.kind === 'refuse' && refused!.refusal.kind === 'deadline-exceeded',
  );
});

test('a service has its own slots and reserves one for online calls', t => {
  const admission = configured();
  const calls = Array.from({length: 6}, (unused, i) =>
    request(`c${i}`, {pool: 'limit-api', class: 'batch'}),
  );
  const actions = arrive(admission, 0, ...calls);
  t.is(actions.length, SERVICE.maxOnline / 2);
  const online = arrive(admission, 1, request('r0', {pool: 'limit-api'}));
  t.deepEqual(kinds(online), ['start r0']);
});

test('refuses a request for a pool that the target does not serve', t => {
  const [refused] = arrive(configured(), 0, request('r0', {pool: 'other'}));
  t.true(refused!.kind === 'refuse' && refused!.refusal.kind === 'no-target');
});
