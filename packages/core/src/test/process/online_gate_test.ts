import test from 'ava';
import {OnlineGate} from '../../lib/process/online_gate.js';
import type {RunningSet} from '../../lib/process/running_set.js';
import type {StepModel} from '../../lib/process/step_model.js';

const MODEL = {ready: true, largestSeen: 64, streamsWithin: () => 64};
const POOL = {
  pool: 'review-llm',
  kind: 'model',
  batch: {throughputWeight: 0.5, maxHarm: 1.1},
  firstTokenMs: 390,
  betweenTokensMs: 40,
  maxOnline: 64,
} as const;

function gateWith(waiting: number): OnlineGate {
  const gate = new OnlineGate(MODEL as unknown as StepModel, {} as RunningSet);
  gate.report({
    running: 2,
    waiting,
    kvTokensUsed: 0,
    kvTokensTotal: 0,
    ageMs: 0,
    versions: [],
  });
  for (let step = 0; step < 5; step++) gate.watchCeiling(true, 2, step);
  return gate;
}

// A stream's connection to the engine is slow to open, and for some steps it
// gets no token. Taken for a full engine, that closed the target to online work
// for many minutes: callers were refused as overloaded beside an idle engine.
test('a stalled stream closes no target whose engine queues nothing', t => {
  t.is(gateWith(0).capacity(POOL), 64);
});

test('a stalled stream bounds a target whose engine queues', t => {
  t.is(gateWith(3).capacity(POOL), 2);
});
