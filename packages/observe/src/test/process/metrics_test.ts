import test from 'ava';
import {Metrics} from '../../lib/process/metrics.js';

test('exposes counters and gauges with their labels', async t => {
  const metrics = new Metrics();
  metrics.count('requests', {class: 'online'});
  metrics.count('requests', {class: 'online'}, 2);
  metrics.gauge('open_streams', () => 7);
  const text = await metrics.text();
  t.true(text.includes('oathead_requests_total{class="online"} 3'));
  t.true(text.includes('oathead_open_streams 7'));
});

test('keeps the tail of a latency distribution', async t => {
  const metrics = new Metrics();
  for (let i = 0; i < 999; i++) metrics.record('first_token', 10);
  metrics.record('first_token', 5000);
  metrics.record('first_token', 5000);
  const text = await metrics.text();
  const p999 = /first_token_ms\{quantile="0.999"\} ([\d.]+)/.exec(text);
  t.true(Math.abs(Number(p999?.[1]) - 5000) < 5);
  t.true(text.includes('oathead_first_token_ms_count 1001'));
});

// A counter is incremented with label names that differ from those of its first
// use, for example after two kinds of store failure. If counting throws, the
// uncaught exception turns an outage of the store into a crash of the process.
test('counting with different label names does not throw', async t => {
  const metrics = new Metrics();
  metrics.count('failures');
  metrics.count('failures', {kind: 'down'});
  const text = await metrics.text();
  t.true(text.includes('oathead_failures_total 1'));
  t.true(text.includes('mismatches_total{name="failures"} 1'));
});
