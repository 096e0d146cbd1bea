import type {Clock} from '@oathead/core';
import test from 'ava';
import {loadReport} from '../../lib/process/load_report.js';
import {LoadRecorder} from '../../lib/process/load_recorder.js';
import {loadReportSvg} from '../../lib/process/report_svg.js';
import {loadReportText} from '../../lib/process/report_text.js';
import {runLoad} from '../../lib/process/run_load.js';
import {poissonArrivals} from '../../lib/request/arrivals.js';
import type {Send} from '../../lib/request/send.js';

const HEAD = {pool: 'm', requestsPerSecond: 10, seconds: 1};

test('arrivals keep their mean rate and are the same for a seed', t => {
  const arrivals = poissonArrivals(1, 100, 100);
  t.deepEqual(arrivals, poissonArrivals(1, 100, 100));
  t.true(Math.abs(arrivals.length - 10_000) < 400);
  t.true(arrivals.every((at, i) => i === 0 || at >= arrivals[i - 1]!));
});

// A load generator that is held up while the system stands still sends its next
// requests late. Counted from when they were sent, they would look fast, and
// the report would hide the very wait that callers had.
test('latency counts from when a request was to be sent', async t => {
  let now = 0;
  const clock: Clock = {
    now: () => now,
    wallTime: () => now,
    after: (delayMs, callback) => {
      // The first wait lasts five seconds too long.
      now += now === 0 ? 5_000 : delayMs;
      queueMicrotask(callback);
      return {[Symbol.dispose]: () => {}};
    },
  };
  const send: Send = async (index, onPart) => {
    onPart();
    return {kind: 'done'};
  };
  const recorder = await runLoad({
    clock,
    send,
    arrivals: [100, 200],
    drainMs: 1_000,
    signal: new AbortController().signal,
  });
  const {firstToken, whole} = loadReport(HEAD, recorder);
  t.is(whole.count, 2);
  t.true(Math.abs(firstToken.maxMs - 4_900) < 10);
  t.true(Math.abs(firstToken.quantiles[0]!.ms - 4_800) < 10);
});

test('a report tells latencies and outcomes apart', async t => {
  let now = 0;
  const recorder = new LoadRecorder();
  const done = recorder.begin(0, () => now);
  now = 30;
  done.part();
  now = 50;
  done.part();
  done.ended({kind: 'done'});
  recorder
    .begin(40, () => now)
    .ended({kind: 'refused', refusal: 'overloaded', ran: 'not-run'});
  const report = loadReport(HEAD, recorder);
  t.deepEqual(report.outcomes, {done: 1, ['overloaded (not-run)']: 1});
  t.is(report.sent, 2);
  t.is(Math.round(report.firstToken.maxMs), 30);
  t.is(Math.round(report.betweenTokens.maxMs), 20);
  t.is(Math.round(report.whole.maxMs), 50);
  const text = loadReportText(report);
  t.regex(text, /sent 2: 1 done, 1 overloaded \(not-run\)/);
  t.regex(text, /first token +30\.0/);
  const svg = await loadReportSvg(report);
  t.regex(svg, /^<svg/);
  t.regex(svg, /first token/);
});
