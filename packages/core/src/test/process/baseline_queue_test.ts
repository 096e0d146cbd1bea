import test from 'ava';
import {BaselineQueue} from '../../lib/process/baseline_queue.js';
import type {BaselineDemand} from '../../lib/process/baseline_queue.js';

const NEED: BaselineDemand = {
  prefillMs: 50,
  largestPrefillMs: 64,
  decodeMs: 20,
  decoding: false,
};

test('an idle engine yields the first token after one step', t => {
  const queue = new BaselineQueue();
  queue.arrived('r0', NEED, 0);
  t.is(queue.firstToken('r0'), 70);
  t.is(queue.firstToken('r0'), undefined);
});

test('a prompt waits for earlier ones, but not for ended requests', t => {
  const queue = new BaselineQueue();
  queue.arrived('r0', NEED, 0);
  queue.arrived('r1', NEED, 0);
  t.true(queue.firstToken('r1')! > 120);
  queue.arrived('r2', NEED, 1000);
  queue.ended('r2');
  queue.arrived('r3', NEED, 1000);
  t.is(queue.firstToken('r3'), 70);
});

test('a prompt waits for half a step of the streams being decoded', t => {
  const queue = new BaselineQueue();
  queue.arrived('r0', {...NEED, decoding: true}, 0);
  t.is(queue.firstToken('r0'), 80);
});
