import test from 'ava';
import {TargetChooser} from '../../lib/connection/target_choice.js';
import type {ChoiceRequest} from '../../lib/connection/target_choice.js';
import type {LoadReport} from '../../lib/process/load_report.js';
import {seededRandom} from '../../lib/process/random.js';

const HALL_A = 'hall-a';

function report(
  targetId: string,
  fields: Partial<LoadReport> = {},
): LoadReport {
  return {
    targetId,
    dataCentre: HALL_A,
    sequence: 1,
    leaving: false,
    cfgRevision: 1,
    versions: [
      {pool: 'review-llm', version: 'v1', adapters: [], state: 'ready'},
    ],
    onlineRunning: 0,
    onlineQueued: 0,
    onlineCapacity: 10,
    batchRunning: 0,
    batchQueued: 0,
    batchRoom: 8,
    prefillTokens: 0,
    stepMs: 20,
    engineDown: false,
    ...fields,
  };
}

function ask(fields: Partial<ChoiceRequest> = {}): ChoiceRequest {
  return {
    pool: 'review-llm',
    class: 'online',
    promptTokens: 100,
    tried: new Set(),
    ...fields,
  };
}

function chooserWith(...reports: readonly LoadReport[]): TargetChooser {
  const chooser = new TargetChooser({
    dataCentre: HALL_A,
    roundTripMs: dataCentre => (dataCentre === HALL_A ? 0.2 : 2.5),
    random: seededRandom(7),
  });
  for (const one of reports) chooser.report(one, 0);
  return chooser;
}

/** Chooses many times, each choice counted as sent. */
function spread(
  chooser: TargetChooser,
  count: number,
  req: ChoiceRequest = ask(),
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const target = chooser.choose(req);
    if (target === undefined) continue;
    chooser.sent(target, req, 1);
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  return counts;
}

test('own sends since the last report count as load', t => {
  // Reports come seconds late. An entry that believed them alone would send a
  // whole burst to the target that was idle when it last reported.
  const chooser = chooserWith(
    report('t0'),
    report('t1', {onlineRunning: 4}),
    report('t2', {onlineRunning: 4}),
  );
  const counts = spread(chooser, 20);
  t.true(counts.get('t0')! < 14);
  t.true(counts.get('t1')! > 3);
});

test('excludes targets that leave, are down, tried or without the pool', t => {
  const chooser = chooserWith(
    report('t0', {leaving: true}),
    report('t1', {engineDown: true}),
    report('t2'),
    report('t3', {versions: []}),
    report('t4'),
  );
  chooser.allow('t4', false);
  t.is(chooser.choose(ask({tried: new Set(['t2'])})), undefined);
  t.is(chooser.choose(ask()), 't2');
});

test('stays in its data centre until waiting costs more than the trip', t => {
  const chooser = chooserWith(
    report('near'),
    report('far', {dataCentre: 'hall-b'}),
  );
  t.is(chooser.choose(ask()), 'near');
  const busy = report('near', {sequence: 2, onlineRunning: 12});
  chooser.report(busy, 10);
  t.is(chooser.choose(ask()), 'far');
});

test('a prefix keeps its target until that is much busier than the rest', t => {
  const names = ['t0', 't1', 't2', 't3'];
  const chooser = chooserWith(...names.map(name => report(name)));
  const req = ask({prefix: 'policy-7'});
  const home = chooser.choose(req)!;
  for (let i = 0; i < 5; i++) t.is(chooser.choose(req), home);
  const counts = spread(chooser, 40, req);
  t.true(counts.get(home)! < 30);
  t.true(counts.get(home)! >= 10);
});

test('prefers a target that has the adapter loaded', t => {
  const versions = [
    {
      pool: 'review-llm',
      version: 'v1',
      adapters: ['bank-a'],
      state: 'ready' as const,
    },
  ];
  const chooser = chooserWith(report('t0'), report('t1', {versions}));
  t.is(chooser.choose(ask({adapter: 'bank-a'})), 't1');
  t.truthy(chooser.choose(ask({adapter: 'bank-b'})));
});

test('batch work goes only where there is room, own sends counted', t => {
  const chooser = chooserWith(
    report('t0', {batchRoom: 3}),
    report('t1', {batchRoom: 0}),
  );
  t.is(chooser.batchRoom('review-llm'), 3);
  const counts = spread(chooser, 10, ask({class: 'batch'}));
  t.deepEqual([...counts], [['t0', 3]]);
  t.is(chooser.batchRoom('review-llm'), 0);
});

test('ignores a report older than the last', t => {
  const chooser = chooserWith(report('t0', {sequence: 5, leaving: true}));
  chooser.report(report('t0', {sequence: 4}), 1);
  t.is(chooser.choose(ask()), undefined);
});
