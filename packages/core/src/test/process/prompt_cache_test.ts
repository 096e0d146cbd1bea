import test from 'ava';
import {PromptCache} from '../../lib/process/prompt_cache.js';
import type {AdmissionRequest} from '../../lib/process/admission.js';

const REQUEST: AdmissionRequest = {
  id: 'b0',
  pool: 'review-llm',
  class: 'batch',
  caller: 'job-0',
  promptTokens: 500,
  maxTokens: 200,
  deadline: 1000,
  suspect: false,
  resumedTokens: 100,
};

test('what was computed lately is cached, but for the last block', t => {
  const cache = new PromptCache();
  t.is(cache.left(REQUEST), 600);
  cache.keep('b0', 600);
  t.is(cache.left(REQUEST), 600 - 576);
});

test('is believed until the engine has computed too much since', t => {
  // Streams that were preempted long ago were taken up again all at once as if
  // they were cached. The engine had evicted them and prefilled for seconds,
  // and online requests waited behind that.
  const cache = new PromptCache();
  cache.setMemory(10_000);
  cache.keep('b0', 600);
  for (let i = 0; i < 400; i++) cache.check(0);
  cache.add(3_000);
  t.is(cache.left(REQUEST), 24);
  cache.add(1_000);
  t.is(cache.left(REQUEST), 600);
});

test('unexplained prefill shrinks what is believed', t => {
  const cache = new PromptCache();
  const before = cache.trustedTokens;
  cache.check(1_000);
  t.true(cache.trustedTokens < before);
  for (let i = 0; i < 1_000; i++) cache.check(0);
  t.is(cache.trustedTokens, before);
});
