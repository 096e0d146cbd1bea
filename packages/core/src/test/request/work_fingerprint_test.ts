import test from 'ava';
import {workFingerprint} from '../../lib/request/work_fingerprint.js';
import type {Work} from '../../lib/request/work.js';

const WORK: Work = {
  kind: 'completion',
  model: 'review',
  input: {kind: 'chat', messages: [{role: 'user', content: 'fair?'}]},
  maxTokens: 16,
  stop: ['.'],
};

test('the same work has the same fingerprint in any order of its fields', t => {
  const {stop, maxTokens, input, model, kind} = WORK;
  const input2 = {...input, messages: [{content: 'fair?', role: 'user'}]};
  const again = {stop, maxTokens, input: input2, model, kind} as Work;
  t.is(workFingerprint(again), workFingerprint(WORK));
});

test('different work has a different fingerprint', t => {
  const others: Work[] = [
    {...WORK, maxTokens: 17},
    {...WORK, adapter: 'bank-a'},
    {...WORK, input: {kind: 'prompt', prompt: 'fair?'}},
  ];
  const names = new Set([WORK, ...others].map(workFingerprint));
  t.is(names.size, 4);
});
