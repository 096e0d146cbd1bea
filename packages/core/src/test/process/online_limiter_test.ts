import test from 'ava';
import {OnlineLimiter} from '../../lib/process/online_limiter.js';
import type {RunningSet} from '../../lib/process/running_set.js';
import type {StepModel} from '../../lib/process/step_model.js';

const MODEL = {ready: true, maxObservedStreams: 64, streamsWithin: () => 64};
const POOL = {
  pool: 'review-llm',
  kind: 'model',
  batch: {throughputWeight: 0.5, maxHarm: 1.1},
  firstTokenMs: 390,
  betweenTokensMs: 40,
  maxOnline: 64,
} as const;

function stalledLimiter(waiting: number): OnlineLimiter {
  const limiter = new OnlineLimiter(
    MODEL as unknown as StepModel,
    {} as RunningSet,
  );
  limiter.report({
    running: 2,
    waiting,
    kvTokensUsed: 0,
    kvTokensTotal: 0,
    ageMs: 0,
    versions: [],
  });
  for (let step = 0; step < 5; step++) limiter.updateStreamLimit(true, 2, step);
  return limiter;
}

// A stream whose connection to the engine is slow to open gets no token for
// some steps. If that is mistaken for a full engine, the target refuses online
// requests as overloaded for many minutes although the engine is idle.
test('a stalled stream does not limit an engine without a queue', t => {
  t.is(stalledLimiter(0).capacity(POOL), 64);
});

test('a stalled stream limits an engine with a queue', t => {
  t.is(stalledLimiter(3).capacity(POOL), 2);
});
