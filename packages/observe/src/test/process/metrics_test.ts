import test from 'ava';
import {Metrics} from '../../lib/process/metrics.js';

test('shows counters and gauges with their labels', async t => {
  const metrics = new Metrics();
  metrics.count('requests', {class: 'online'});
  metrics.count('requests', {class: 'online'}, 2);
  metrics.gauge('open_streams', () => 7);
  const text = await metrics.text();
  t.true(text.includes('oathead_requests_total{class="online"} 3'));
  t.true(text.includes('oathead_open_streams 7'));
});

test('keeps the tail of a latency', async t => {
  const metrics = new Metrics();
  for (let i = 0; i < 999; i++) metrics.record('first_token', 10);
  metrics.record('first_token', 5000);
  metrics.record('first_token', 5000);
  const text = await metrics.text();
  const p999 = /first_token_ms\{quantile="0.999"\} ([\d.]+)/.exec(text);
  t.true(Math.abs(Number(p999?.[1]) - 5000) < 5);
  t.true(text.includes('oathead_first_token_ms_count 1001'));
});
