import test from 'ava';
import {runConvergence} from '../fakes/convergence_run.js';
import type {
  ConvergenceOptions,
  ConvergenceResult,
} from '../fakes/convergence_run.js';

const IN_FORCE_MS = 5_000;

const CALM: ConvergenceOptions = {
  entries: 8,
  changes: 1_000,
  changeMs: 1_000,
  restartMs: 0,
  outageMs: 0,
  outageLengthMs: 20_000,
  lostAnswers: 0,
  seed: 1,
};

const ROUGH: ConvergenceOptions = {
  ...CALM,
  restartMs: 8_000,
  outageMs: 60_000,
  lostAnswers: 0.05,
};

function text({lags, ...counts}: ConvergenceResult): string {
  const p50 = lags.getValueAtPercentile(50);
  const p99 = lags.getValueAtPercentile(99);
  const lag = `p50 ${p50} ms, p99 ${p99} ms, max ${lags.maxValue} ms`;
  return `${lag} of ${lags.totalCount}; ${JSON.stringify(counts)}`;
}

test('1,000 changes are in force at every entry within seconds', async t => {
  const result = await runConvergence(CALM);
  t.log(text(result));
  t.is(result.accepted, 1_000);
  t.is(result.reverts, 0);
  t.true(result.lags.maxValue < IN_FORCE_MS);
});

// Entries are replaced, the store goes down, also just after it has accepted a
// change, and answers of writes are lost. Callers must not be served by an old
// configuration for longer than seconds after the new one was accepted.
test('so are 1,000 changes with restarts, outages and lost answers', async t => {
  const result = await runConvergence(ROUGH);
  t.log(text(result));
  t.true(result.accepted > 700 && result.outages > 5 && result.restarts > 100);
  t.is(result.reverts, 0);
  t.true(result.lags.maxValue < IN_FORCE_MS);
});

test('and changes after each of which the store goes down', async t => {
  const result = await runConvergence({
    ...CALM,
    changes: 60,
    changeMs: 20_000,
    entries: 16,
    restartMs: 10_000,
    outageAtAccept: true,
    outageLengthMs: 15_000,
  });
  t.log(text(result));
  t.true(result.accepted > 40 && result.outages > 40);
  t.is(result.reverts, 0);
  t.true(result.lags.maxValue < IN_FORCE_MS);
});
