import {ConfigSnapshot, NO_COUNTERS, repeat, seededRandom} from '@oathead/core';
import type {ConfigView, Resource} from '@oathead/core';
import {MemoryTable, MemoryWeights} from '@oathead/stores';
import type {RowCheck} from '@oathead/stores';
import {VirtualClock} from '@oathead/stand-ins';
import test from 'ava';
import {readOrderFence} from '../../lib/process/order_fence.js';
import {RolloutLeader} from '../../lib/process/rollout_leader.js';
import {StatusBoard} from '../../lib/process/status_board.js';
import {checkSpec} from '../../lib/version/spec_schema.js';
import {valueOf} from '../fakes/config_fleet.js';
import {FakeEngines} from '../fakes/fake_engines.js';

const LOAD_MS = 30_000;
const CONCURRENT_LOADS = 2;
/** What is reported was so some time ago. */
const REPORT_LAG_MS = 3_000;
const LONG = 600_000;
const TARGETS = ['t1', 't2', 't3', 't4', 't5', 't6'];

function declared(
  kind: Resource['kind'],
  name: string,
  resourceVersion: number,
  spec: unknown,
): Resource {
  return {
    kind,
    name,
    resourceVersion,
    spec: valueOf(checkSpec(kind, name, spec)),
  };
}

/** Six targets with version v1 of the model m, and leaders that may lead. */
function setUp() {
  const clock = new VirtualClock();
  const table = new MemoryTable();
  let snapshot = new ConfigSnapshot(0, []);
  const config: ConfigView = {
    current: () => snapshot,
    onChange: () => ({[Symbol.dispose]() {}}),
  };
  const board = new StatusBoard(clock, config);
  const engines = new FakeEngines(clock, LOAD_MS, TARGETS, 'v1');
  const declare = (version: string, ...others: readonly Resource[]) => {
    const revision = snapshot.revision + 1;
    const target = {pools: ['m'], address: '127.0.0.1:1', dataCentre: 'a'};
    snapshot = new ConfigSnapshot(revision, [
      declared('models', 'm', revision, {version}),
      ...TARGETS.map(name => declared('targets', name, 1, target)),
      ...others,
    ]);
    engines.cfgRevision = revision;
  };
  repeat(clock, 1_000, () => {
    for (const name of TARGETS) {
      const report = engines.report(name);
      clock.after(REPORT_LAG_MS, () => board.heardTarget(name, report));
    }
  });
  let holder = '';
  let share: RowCheck = {key: 'share', version: 0};
  const lead = async (id: string) => {
    holder = id;
    const put = {kind: 'put', key: 'share', value: id} as const;
    const written = await table.write({checks: [], writes: [put]});
    if (written.ok)
      share = {key: 'share', version: written.value.versions['share']!};
  };
  const newLeader = (entryId: string) =>
    new RolloutLeader({
      table,
      weights: new MemoryWeights([], CONCURRENT_LOADS),
      membership: {
        entryId,
        shareOf: () => 0,
        fence: () => (holder === entryId ? share : undefined),
      },
      fleet: () => board.fleet(),
      orders: engines,
      clock,
      random: seededRandom(1),
      counters: NO_COUNTERS,
    });
  declare('v1');
  return {clock, table, engines, declare, lead, newLeader};
}

function versionsOf(engines: FakeEngines): readonly string[] {
  return TARGETS.map(name => engines.versionsAt(name).join('+'));
}

test('a version goes from target to target without a moment without server', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  newLeader('e1').start();
  declare('v2');
  await clock.advance(70_000);
  const midway = versionsOf(engines);
  t.true(midway.includes('v2') && midway.includes('v1'), midway.join(' '));
  await clock.advance(LONG);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v2'),
  );
  t.deepEqual(engines.outages, []);
  t.is(engines.mostLoading, CONCURRENT_LOADS);
});

// What is reported is seconds old. A rollout is taken back just after the old
// version was unloaded somewhere, while its target still seems to have it.
test('a rollout that is taken back midway ends where it began', async t => {
  for (let takenBackAt = 54_000; takenBackAt < 66_000; takenBackAt += 1_000) {
    const {clock, engines, declare, lead, newLeader} = setUp();
    await lead('e1');
    newLeader('e1').start();
    declare('v2');
    await clock.advance(takenBackAt);
    declare('v1');
    await clock.advance(LONG / 2);
    t.deepEqual(
      versionsOf(engines),
      TARGETS.map(() => 'v1'),
    );
    t.deepEqual(engines.outages, [], `taken back at ${takenBackAt}`);
    t.is(engines.mostLoading, CONCURRENT_LOADS);
  }
});

// A target has not heard of the configuration yet and still sends requests to
// the old version.
test('the old version stays until its target knows of the new one', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  newLeader('e1').start();
  declare('v2');
  engines.cfgRevision = 1;
  await clock.advance(LONG);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v1+v2'),
  );
  engines.cfgRevision = 2;
  await clock.advance(60_000);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v2'),
  );
});

// A holder is paused just after it ordered the old version to be unloaded; the
// order is held up. Another entry leads meanwhile and takes the rollout back.
// Then the old order arrives and the paused holder wakes: callers would be left
// without the version that now takes their requests.
test('an order of a paused holder that arrives late is refused', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  const paused = newLeader('e1');
  paused.start();
  engines.fate = ({action}) =>
    action.kind === 'unload-version' ? 'late' : 'delivered';
  declare('v2');
  await clock.advance(60_000);
  t.true(engines.late.length > 0);
  engines.fate = () => 'delivered';
  declare('v1');
  await lead('e2');
  newLeader('e2').start();
  await clock.advance(LONG);
  for (const deliver of engines.late) t.is(deliver().kind, 'refused');
  const orders = engines.applied.length;
  await paused.tick();
  t.is(engines.applied.length, orders);
  t.deepEqual(paused.steps(), []);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v1'),
  );
  t.deepEqual(engines.outages, []);
});

// The holder does not learn what became of an unload order: its connection was
// silent. The rollout is taken back, and then the order arrives after all.
test('an order whose outcome was lost cannot take effect later', async t => {
  const {clock, table, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  newLeader('e1').start();
  engines.fate = ({action}) =>
    action.kind === 'unload-version' ? 'late' : 'delivered';
  declare('v2');
  await clock.advance(60_000);
  declare('v1');
  engines.fate = () => 'delivered';
  await clock.advance(LONG);
  t.true(engines.late.length > 0);
  for (const deliver of engines.late) t.is(deliver().kind, 'refused');
  const token = await readOrderFence(table);
  t.true(token.ok && token.value > 1);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v1'),
  );
  t.deepEqual(engines.outages, []);
});

test('answers that are lost delay a rollout and do not break it', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  newLeader('e1').start();
  let count = 0;
  engines.fate = () => (++count % 3 === 0 ? 'answer-lost' : 'delivered');
  declare('v2');
  await clock.advance(2 * LONG);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v2'),
  );
  t.deepEqual(engines.outages, []);
  t.true(engines.mostLoading <= CONCURRENT_LOADS);
});

// A version cannot be loaded. It must not take the old one down with it, nor
// take up the weight store at every target.
test('a broken version stops after a few targets, the old one serves on', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  newLeader('e1').start();
  engines.broken.add('v2');
  declare('v2');
  await clock.advance(LONG);
  const tried = versionsOf(engines).filter(text => text.includes('v2'));
  t.true(tried.length <= 4, versionsOf(engines).join(' '));
  t.true(versionsOf(engines).every(text => text.includes('v1')));
  declare('v1');
  await clock.advance(LONG);
  t.deepEqual(
    versionsOf(engines),
    TARGETS.map(() => 'v1'),
  );
  t.deepEqual(engines.outages, []);
});

test('adapters are at the new version before the old one goes', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e1');
  newLeader('e1').start();
  declare('v2', declared('adapters', 'a', 1, {model: 'm', weights: 'a'}));
  await clock.advance(LONG);
  const orders = engines.applied.filter(text => text.startsWith('t1 '));
  t.deepEqual(orders, [
    't1 load-version',
    't1 load-adapter',
    't1 unload-version',
  ]);
});

test('an entry that is not the holder orders nothing', async t => {
  const {clock, engines, declare, lead, newLeader} = setUp();
  await lead('e2');
  newLeader('e1').start();
  declare('v2');
  await clock.advance(LONG);
  t.deepEqual(engines.applied, []);
});
