import {ConfigSnapshot} from '@oathead/core';
import type {ConfigView, Resource} from '@oathead/core';
import {VirtualClock} from '@oathead/stand-ins';
import test from 'ava';
import {StatusBoard} from '../../lib/process/status_board.js';
import {checkSpec} from '../../lib/version/spec_schema.js';
import {valueOf} from '../fakes/config_fleet.js';
import {loadReport, served} from '../fakes/load_reports.js';

function resource(
  kind: Resource['kind'],
  name: string,
  spec: unknown,
): Resource {
  return {
    kind,
    name,
    resourceVersion: 3,
    spec: valueOf(checkSpec(kind, name, spec)),
  };
}

function target(name: string, leaving = false): Resource {
  return resource('targets', name, {
    pools: ['m'],
    address: '127.0.0.1:1',
    dataCentre: 'hall-a',
    leaving,
  });
}

function setUp(...others: readonly Resource[]) {
  const snapshot = new ConfigSnapshot(5, [
    resource('models', 'm', {version: 'v2'}),
    resource('versions', 'v1', {model: 'm', weights: 'w1'}),
    resource('versions', 'v2', {model: 'm', weights: 'w2'}),
    target('t1'),
    target('t2'),
    ...others,
  ]);
  const config: ConfigView = {
    current: () => snapshot,
    onChange: () => ({[Symbol.dispose]() {}}),
  };
  const clock = new VirtualClock();
  const board = new StatusBoard(clock, config);
  const conditions = (kind: Resource['kind'], name: string) =>
    Object.fromEntries(
      board
        .conditions(snapshot.get(kind, name)!)
        .map(({type, status, reason}) => [type, `${status} ${reason}`]),
    );
  return {board, clock, conditions, snapshot};
}

test('tells what is in force where', t => {
  const {board, conditions} = setUp();
  t.like(conditions('models', 'm'), {
    InForce: 'unknown NoEntryHeard',
    Ready: 'false NoTargetReady',
  });
  board.heardEntry('e1', 5);
  board.heardEntry('e2', 2);
  board.heardTarget('t1', loadReport({cfgRevision: 5}));
  board.heardTarget('t2', loadReport({cfgRevision: 4}));
  t.is(conditions('models', 'm')['InForce'], 'false EntriesBehind');
  t.is(conditions('targets', 't1')['Configured'], 'true Current');
  t.is(conditions('targets', 't2')['Configured'], 'false Behind');
  t.like(board.report().inForce, {
    entries: {current: 1, behind: 1, examples: ['e2']},
    targets: {current: 1, behind: 1, examples: ['t2']},
  });
  board.heardEntry('e2', 5);
  t.is(conditions('models', 'm')['InForce'], 'true EveryEntry');
});

test('follows a version from target to target', t => {
  const {board, conditions} = setUp();
  const steps = [
    [served('v1:ready'), served('v1:ready')],
    [served('v1:ready', 'v2:ready'), served('v1:ready', 'v2:loading')],
    [served('v2:ready'), served('v2:ready')],
  ];
  const seen = steps.map(([first, second]) => {
    board.heardTarget('t1', loadReport({versions: first}));
    board.heardTarget('t2', loadReport({versions: second}));
    return [
      conditions('models', 'm')['Ready'],
      conditions('models', 'm')['Degraded'],
      conditions('versions', 'v2')['Serving'],
      conditions('versions', 'v2')['RollingOut'],
      conditions('versions', 'v1')['RollingOut'],
    ].map(text => text!.split(' ')[1]);
  });
  t.deepEqual(seen, [
    ['NoTargetReady', 'TargetsMissing', 'NotReadyYet', 'Loading', 'Unloading'],
    ['TargetsReady', 'TargetsMissing', 'TakesTraffic', 'Loading', 'Unloading'],
    ['TargetsReady', 'TargetsReady', 'TakesTraffic', 'Complete', 'NotLoaded'],
  ]);
});

test('a silent, a lost and a leaving target', async t => {
  const {board, clock, conditions} = setUp(target('t3', true));
  board.heardTarget('t1', loadReport());
  board.heardTarget('t3', loadReport());
  t.is(conditions('targets', 't3')['Leaving'], 'true NotToldYet');
  board.heardTarget('t3', loadReport({leaving: true, onlineRunning: 2}));
  t.is(conditions('targets', 't3')['Leaving'], 'true Finishing');
  board.heardTarget('t3', loadReport({leaving: true}));
  t.is(conditions('targets', 't3')['Leaving'], 'true Empty');
  board.lostTarget('t3');
  t.is(conditions('targets', 't3')['Unreachable'], 'true Lost');
  t.is(conditions('targets', 't2')['Unreachable'], 'unknown NeverHeard');
  await clock.advance(6_000);
  t.is(conditions('targets', 't1')['Unreachable'], 'true Silent');
  t.deepEqual(
    board.report().troubled.map(({name}) => name),
    ['t1', 't3'],
  );
  t.deepEqual(board.report().leaving, ['t3']);
});

test('remembers since when, whatever the message says meanwhile', async t => {
  const {board, clock, snapshot} = setUp();
  const ready = () =>
    board
      .conditions(snapshot.get('models', 'm')!)
      .find(({type}) => type === 'Ready')!;
  await clock.advance(1_000);
  board.heardTarget('t1', loadReport({versions: served('v2:ready')}));
  board.refresh();
  const changedAt = clock.wallTime();
  const first = ready();
  await clock.advance(1_000);
  board.heardTarget('t2', loadReport({versions: served('v2:ready')}));
  board.refresh();
  t.not(ready().message, first.message);
  t.is(ready().since, changedAt);
});

test('boards of several entries become one, the latest word stands', async t => {
  const {board, clock, conditions} = setUp();
  const other = setUp().board;
  board.heardTarget('t1', loadReport({engineDown: true}));
  await clock.advance(2_000);
  other.heardTarget('t1', loadReport());
  other.heardTarget('t2', loadReport({engineDown: true}));
  board.merge(other.facts());
  t.is(conditions('targets', 't1')['EngineDown'], 'false Answers');
  t.is(conditions('targets', 't2')['EngineDown'], 'true NoAnswer');
});

test('counts refusals of the last minutes', async t => {
  const {board, clock} = setUp();
  board.countRefusal('overloaded', 'm');
  await clock.advance(200_000);
  board.countRefusal('overloaded', 'm');
  board.countRefusal('unauthorized');
  t.deepEqual(
    board.report().refusals.map(({kind, pool, count}) => [kind, pool, count]),
    [
      ['overloaded', 'm', 2],
      ['unauthorized', undefined, 1],
    ],
  );
  await clock.advance(200_000);
  t.is(board.report().refusals.length, 2);
  t.is(board.report().refusals[0]!.count, 1);
  await clock.advance(200_000);
  t.deepEqual(board.report().refusals, []);
});
