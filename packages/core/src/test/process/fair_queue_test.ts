import test from 'ava';
import type {AdmissionRequest} from '../../lib/process/admission.js';
import {FairQueue} from '../../lib/process/fair_queue.js';

function request(
  id: string,
  caller: string,
  deadline = 1000,
): AdmissionRequest {
  return {
    id,
    pool: 'review-llm',
    class: 'online',
    caller,
    promptTokens: 100,
    maxTokens: 100,
    deadline,
    suspect: false,
    resumedTokens: 0,
  };
}

function takeAll(queue: FairQueue): string[] {
  const order: string[] = [];
  for (let next = queue.take(); next; next = queue.take()) {
    order.push(next.request.id);
  }
  return order;
}

test('a caller that floods the queue does not delay other callers', t => {
  const queue = new FairQueue();
  for (let i = 0; i < 4; i++) queue.add(request(`a${i}`, 'greedy'), 0);
  queue.add(request('b0', 'modest'), 1);
  t.deepEqual(takeAll(queue), ['a0', 'b0', 'a1', 'a2', 'a3']);
});

test('callers are served in proportion to their weights', t => {
  const queue = new FairQueue();
  queue.setWeights({heavy: 2});
  for (let i = 0; i < 4; i++) queue.add(request(`h${i}`, 'heavy'), 0);
  for (let i = 0; i < 2; i++) queue.add(request(`l${i}`, 'light'), 0);
  const order = takeAll(queue);
  t.is(order.slice(0, 3).filter(id => id.startsWith('h')).length, 2);
});

test('requests of one caller are taken by earliest deadline', t => {
  const queue = new FairQueue();
  queue.add(request('late', 'a', 900), 0);
  queue.add(request('soon', 'a', 100), 0);
  t.deepEqual(takeAll(queue), ['soon', 'late']);
});

test('the shed candidate is the last request of the most served caller', t => {
  const queue = new FairQueue();
  queue.add(request('b0', 'modest'), 0);
  for (let i = 0; i < 3; i++) queue.add(request(`a${i}`, 'greedy'), 0);
  t.is(queue.shedCandidate()!.request.id, 'a2');
  t.true(queue.remove('a2'));
  t.false(queue.remove('a2'));
  t.is(queue.size, 3);
  t.is(queue.tokens, 600);
});
