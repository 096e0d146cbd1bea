import test from 'ava';
import {LOAD_LIFETIME_MS, LoadTable} from '../../lib/process/load_table.js';

test('the load of a target is the sum over all hosts', t => {
  const table = new LoadTable(() => 0);
  const request = table.begin('t', 'online');
  table.begin('t', 'batch');
  table.hear('other', new Map([['t', {online: 2, batch: 1}]]));
  t.deepEqual(table.at('t'), {online: 3, batch: 2});
  request[Symbol.dispose]();
  t.deepEqual(table.at('t'), {online: 2, batch: 2});
  table.hear('other', new Map());
  t.deepEqual(table.at('t'), {online: 0, batch: 1});
});

// Targets stay shunned for ever: a host dies while it has requests in flight,
// and nobody says that they have ended. What it said last must lapse.
test('what a silent host said last lapses', t => {
  let now = 0;
  const table = new LoadTable(() => now);
  table.hear('other', new Map([['t', {online: 5, batch: 0}]]));
  now = LOAD_LIFETIME_MS + 1;
  table.expire();
  t.deepEqual(table.at('t'), {online: 0, batch: 0});
});
