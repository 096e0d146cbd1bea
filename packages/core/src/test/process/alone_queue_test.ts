import test from 'ava';
import {AloneQueue} from '../../lib/process/alone_queue.js';
import type {AloneNeed} from '../../lib/process/alone_queue.js';

const NEED: AloneNeed = {
  prefillMs: 50,
  largestPrefillMs: 64,
  decodeMs: 20,
  decoding: false,
};

test('an idle engine answers after one step', t => {
  const queue = new AloneQueue();
  queue.arrived('r0', NEED, 0);
  t.is(queue.firstToken('r0'), 70);
  t.is(queue.firstToken('r0'), undefined);
});

test('later prompts wait for earlier ones, not for those that went', t => {
  const queue = new AloneQueue();
  queue.arrived('r0', NEED, 0);
  queue.arrived('r1', NEED, 0);
  t.true(queue.firstToken('r1')! > 120);
  queue.arrived('r2', NEED, 1000);
  queue.gone('r2');
  queue.arrived('r3', NEED, 1000);
  t.is(queue.firstToken('r3'), 70);
});

test('a prompt waits for half a step of those that decode', t => {
  const queue = new AloneQueue();
  queue.arrived('r0', {...NEED, decoding: true}, 0);
  t.is(queue.firstToken('r0'), 80);
});
