import {ConfigSnapshot} from '@oathead/core';
import type {ConfigView, LoadReport, Resource} from '@oathead/core';
import {VirtualClock} from '@oathead/stand-ins';
import test from 'ava';
import {StatusBoard} from '../../lib/process/status_board.js';
import {chooseOrders, wishOf} from '../../lib/version/rollout_plan.js';
import {ROLLOUT_DEFAULTS} from '../../lib/version/rollout_step.js';
import type {RolloutStep} from '../../lib/version/rollout_step.js';
import {checkSpec} from '../../lib/version/spec_schema.js';
import {valueOf} from '../fakes/config_fleet.js';
import {loadReport, served} from '../fakes/load_reports.js';

const NOW = 100_000;

function resource(
  kind: Resource['kind'],
  name: string,
  spec: object,
): Resource {
  const checked = valueOf(checkSpec(kind, name, spec));
  return {kind, name, resourceVersion: 1, spec: checked};
}

async function factsOf(reports: Readonly<Record<string, Partial<LoadReport>>>) {
  const address = {address: '127.0.0.1:1', dataCentre: 'a'};
  const snapshot = new ConfigSnapshot(1, [
    resource('models', 'm', {version: 'v2'}),
    resource('models', 'n', {version: 'v2'}),
    ...Object.keys(reports).map(name =>
      resource('targets', name, {pools: ['m', 'n'], ...address}),
    ),
  ]);
  const config: ConfigView = {
    current: () => snapshot,
    onChange: () => ({[Symbol.dispose]() {}}),
  };
  const clock = new VirtualClock();
  const board = new StatusBoard(clock, config);
  await clock.advance(NOW);
  for (const [name, report] of Object.entries(reports)) {
    board.heardTarget(name, loadReport({cfgRevision: 1, ...report}));
  }
  return {fleet: board.fleet(), settings: ROLLOUT_DEFAULTS, now: NOW};
}

function step(changes: Partial<RolloutStep> = {}): RolloutStep {
  return {
    model: 'm',
    target: 't1',
    wanted: 'v2',
    state: 'wanting',
    since: 0,
    orderedAt: 0,
    reading: false,
    ...changes,
  };
}

test('an old version goes only after the new one has been ready for a while', async t => {
  const facts = await factsOf({t1: {versions: served('v1:ready', 'v2:ready')}});
  const ready = (since: number) => wishOf(step({state: 'ready', since}), facts);
  t.is(ready(NOW - ROLLOUT_DEFAULTS.settleMs + 1), undefined);
  t.like(ready(NOW - ROLLOUT_DEFAULTS.settleMs), {
    action: {kind: 'unload-version', version: 'v1'},
    reads: false,
  });
});

test('nothing is ordered at targets that leave, are lost or not heard since', async t => {
  const facts = await factsOf({
    t1: {leaving: true},
    t2: {engineDown: true},
    t3: {},
  });
  t.is(wishOf(step({target: 't1'}), facts), undefined);
  t.is(wishOf(step({target: 't2'}), facts), undefined);
  t.is(wishOf(step({target: 't3', orderedAt: NOW}), facts), undefined);
  t.truthy(wishOf(step({target: 't3'}), facts));
});

test('reads are shared by all models, the least served first', async t => {
  const facts = await factsOf({
    t1: {versions: served('v2:ready')},
    t2: {versions: served('v1:loading')},
    t3: {},
    t4: {},
  });
  const steps = [
    step({target: 't3'}),
    step({target: 't4'}),
    step({target: 't3', model: 'n'}),
    step({target: 't4', model: 'n', reading: true, state: 'loading'}),
  ];
  const chosen = (reads: number) =>
    chooseOrders(steps, facts, reads).map(
      ([{model, target}]) => model + target,
    );
  t.deepEqual(chosen(2), []);
  t.deepEqual(chosen(3), ['nt3']);
  t.deepEqual(chosen(4), ['nt3', 'mt3']);
});
