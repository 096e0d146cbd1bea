import test from 'ava';
import {TargetChooser} from '../../lib/connection/target_choice.js';
import type {ChoiceRequest} from '../../lib/connection/target_choice.js';
import type {LoadReport} from '../../lib/process/load_report.js';
import {seededRandom} from '../../lib/process/random.js';

const LOCAL_DATA_CENTRE = 'hall-a';

function report(
  targetId: string,
  fields: Partial<LoadReport> = {},
): LoadReport {
  return {
    targetId,
    dataCentre: LOCAL_DATA_CENTRE,
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

function choiceRequest(fields: Partial<ChoiceRequest> = {}): ChoiceRequest {
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
    dataCentre: LOCAL_DATA_CENTRE,
    roundTripMs: dataCentre => (dataCentre === LOCAL_DATA_CENTRE ? 0.2 : 2.5),
    random: seededRandom(7),
  });
  for (const one of reports) chooser.report(one, 0);
  return chooser;
}

/**
 * Selects a target repeatedly and counts each selection as sent.
 *
 * @returns The number of requests by target.
 */
function chooseRepeatedly(
  chooser: TargetChooser,
  count: number,
  req: ChoiceRequest = choiceRequest(),
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const target = chooser.choose(req);
    if (target === undefined) continue;
    chooser.recordSent(target, req, 1);
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  return counts;
}

test('requests sent since the last report count as load', t => {
  // Load reports are seconds old. An entry that used them alone would send a
  // whole burst to the target that was idle at its last report.
  const chooser = chooserWith(
    report('t0'),
    report('t1', {onlineRunning: 4}),
    report('t2', {onlineRunning: 4}),
  );
  const counts = chooseRepeatedly(chooser, 20);
  t.true(counts.get('t0')! < 14);
  t.true(counts.get('t1')! > 3);
});

test('excludes targets that drain, are down, were tried or lack the pool', t => {
  const chooser = chooserWith(
    report('t0', {leaving: true}),
    report('t1', {engineDown: true}),
    report('t2'),
    report('t3', {versions: []}),
    report('t4'),
  );
  chooser.setAcceptsNew('t4', false);
  t.is(chooser.choose(choiceRequest({tried: new Set(['t2'])})), undefined);
  t.is(chooser.choose(choiceRequest()), 't2');
});

test('prefers the local data centre until queueing costs more than the round trip', t => {
  const chooser = chooserWith(
    report('near'),
    report('far', {dataCentre: 'hall-b'}),
  );
  t.is(chooser.choose(choiceRequest()), 'near');
  const busy = report('near', {sequence: 2, onlineRunning: 12});
  chooser.report(busy, 10);
  t.is(chooser.choose(choiceRequest()), 'far');
});

test('a prefix keeps its target until it is much busier than the others', t => {
  const names = ['t0', 't1', 't2', 't3'];
  const chooser = chooserWith(...names.map(name => report(name)));
  const req = choiceRequest({prefix: 'policy-7'});
  const preferred = chooser.choose(req)!;
  for (let i = 0; i < 5; i++) t.is(chooser.choose(req), preferred);
  const counts = chooseRepeatedly(chooser, 40, req);
  t.true(counts.get(preferred)! < 30);
  t.true(counts.get(preferred)! >= 10);
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
  t.is(chooser.choose(choiceRequest({adapter: 'bank-a'})), 't1');
  t.truthy(chooser.choose(choiceRequest({adapter: 'bank-b'})));
});

test('sends batch work only to free capacity, less what was sent already', t => {
  const chooser = chooserWith(
    report('t0', {batchRoom: 3}),
    report('t1', {batchRoom: 0}),
  );
  t.is(chooser.batchRoom('review-llm'), 3);
  const counts = chooseRepeatedly(chooser, 10, choiceRequest({class: 'batch'}));
  t.deepEqual([...counts], [['t0', 3]]);
  t.is(chooser.batchRoom('review-llm'), 0);
});

test('ignores a report that is older than the last one', t => {
  const chooser = chooserWith(report('t0', {sequence: 5, leaving: true}));
  chooser.report(report('t0', {sequence: 4}), 1);
  t.is(chooser.choose(choiceRequest()), undefined);
});
