import test from 'ava';
import {
  LOAD_REPORT_LIFETIME_MS,
  LoadTable,
} from '../../lib/process/load_table.js';

test('the load of a target is the sum over all hosts', t => {
  const table = new LoadTable(() => 0);
  const request = table.begin('t', 'online');
  table.begin('t', 'batch');
  table.applyReport('other', new Map([['t', {online: 2, batch: 1}]]));
  t.deepEqual(table.totalAt('t'), {online: 3, batch: 2});
  request[Symbol.dispose]();
  t.deepEqual(table.totalAt('t'), {online: 2, batch: 2});
  table.applyReport('other', new Map());
  t.deepEqual(table.totalAt('t'), {online: 0, batch: 1});
});

// A target is avoided forever: a host dies with requests in flight, and nobody
// reports that they have ended. Its last report must expire.
test('the last report of an unresponsive host expires', t => {
  let now = 0;
  const table = new LoadTable(() => now);
  table.applyReport('other', new Map([['t', {online: 5, batch: 0}]]));
  now = LOAD_REPORT_LIFETIME_MS + 1;
  table.expire();
  t.deepEqual(table.totalAt('t'), {online: 0, batch: 0});
});

// A target looks free while a request runs there, and later looks as if it ran
// an item that has ended: an item is preempted for the request, and its host
// reports this before the pending change is removed.
test('an item that ends before its pending change does not hide a request', t => {
  let now = 0;
  const table = new LoadTable(() => now);
  table.applyReport('holder', new Map([['t', {online: 0, batch: 1}]]));
  table.addPendingChange('holder', 't', 'batch', -1);
  const request = table.begin('t', 'online');
  now = 10;
  table.applyReport('holder', new Map());
  t.is(table.totalAt('t').online, 1);
  now = 100;
  table.applyReport('holder', new Map());
  t.deepEqual(table.totalAt('t'), {online: 1, batch: 0});
  request[Symbol.dispose]();
  t.deepEqual(table.totalAt('t'), {online: 0, batch: 0});
});
