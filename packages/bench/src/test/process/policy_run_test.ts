import test from 'ava';
import {ALONE, OATHEAD, weighted} from '../../lib/process/policies.js';
import type {Policy} from '../../lib/process/policies.js';
import {PolicyRun} from '../../lib/process/policy_run.js';
import {idleBound} from '../../lib/process/idle_bound.js';
import {buildTrace} from '../../lib/process/traces.js';
import type {Trace} from '../../lib/process/traces.js';

const DURATION_MS = 60_000;
const SEED = 5;

function shortTrace(): Trace {
  const trace = buildTrace('a', SEED);
  const arrivals = trace.arrivals.filter(({at}) => at < DURATION_MS / 2);
  return {...trace, arrivals, durationMs: DURATION_MS};
}

test('the same seed gives the same figures', t => {
  const trace = shortTrace();
  const runs = [1, 2].map(() => new PolicyRun(trace, OATHEAD, SEED).run());
  t.deepEqual(runs[0]!.batchTokens, runs[1]!.batchTokens);
  t.deepEqual(runs[0]!.firstToken.at(99), runs[1]!.firstToken.at(99));
  t.true(runs[0]!.batchTokens > 0);
});

test('all online requests are answered and batch streams yield in a step', t => {
  const trace = shortTrace();
  const figures = new PolicyRun(trace, OATHEAD, SEED).run();
  t.is(figures.onlineDone, trace.arrivals.length);
  t.true(figures.preempted > 0);
  t.true(figures.maxYieldSteps <= 1);
});

test('batch work stays below the idle bound, online alone has none', t => {
  const trace = shortTrace();
  const alone = new PolicyRun(trace, ALONE, SEED).run();
  const bound = idleBound(trace, alone);
  const figures = new PolicyRun(trace, OATHEAD, SEED).run();
  t.is(alone.batchTokens, 0);
  t.true(figures.batchTokens < bound.batchTokens);
});

// A deployment declares that throughput does not count. Once the weight did
// nothing, its callers got their tokens at half the pace all the same.
test('the declared weight moves batch work against online tokens', t => {
  const trace = shortTrace();
  const run = (weight: number) =>
    new PolicyRun(trace, weighted(weight), SEED).run();
  const [least, middle, most] = [0, 0.6, 1].map(run);
  t.true(least!.batchTokens < middle!.batchTokens);
  t.true(middle!.batchTokens < most!.batchTokens);
  const alone = new PolicyRun(trace, ALONE, SEED).run();
  const harm = (figures: typeof alone, percentile: number) =>
    figures.betweenTokens.at(percentile) / alone.betweenTokens.at(percentile);
  for (const percentile of [50, 95, 99]) {
    t.true(harm(least!, percentile) < 1.02);
  }
  t.true(harm(most!, 95) > 2);
});

test('at weight 1 the online median pays, at weight 0 it does not', t => {
  const trace = {...buildTrace('a', SEED), durationMs: 2 * DURATION_MS};
  const median = (policy: Policy) =>
    new PolicyRun(trace, policy, SEED).run().betweenTokens.at(50);
  const alone = median(ALONE);
  t.true(median(weighted(0)) < 1.02 * alone);
  t.true(median(weighted(1)) > 1.4 * alone);
});
