import test from 'ava';
import {PrefixCacheModel} from '../../lib/process/prefix_cache_model.js';
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

test('recently computed tokens are cached except for a partial block', t => {
  const cache = new PrefixCacheModel();
  t.is(cache.tokensToPrefill(REQUEST), 600);
  cache.recordCached('b0', 600);
  t.is(cache.tokensToPrefill(REQUEST), 600 - 576);
});

test('a prefix is assumed cached until too much is computed since', t => {
  // If streams that were preempted long ago are assumed to be cached, they are
  // resumed all at once. The engine has evicted them, so it prefills for
  // seconds, and online requests wait behind that.
  const cache = new PrefixCacheModel();
  cache.setMemoryTokens(10_000);
  cache.recordCached('b0', 600);
  for (let i = 0; i < 400; i++) cache.adjustRetention(0);
  cache.recordComputed(3_000);
  t.is(cache.tokensToPrefill(REQUEST), 24);
  cache.recordComputed(1_000);
  t.is(cache.tokensToPrefill(REQUEST), 600);
});

test('unexpected prefill reduces the retention', t => {
  const cache = new PrefixCacheModel();
  const before = cache.retentionTokens;
  cache.adjustRetention(1_000);
  t.true(cache.retentionTokens < before);
  for (let i = 0; i < 1_000; i++) cache.adjustRetention(0);
  t.is(cache.retentionTokens, before);
});
