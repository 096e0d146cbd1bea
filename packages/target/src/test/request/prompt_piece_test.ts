import test from 'ava';
import type {Completion} from '@oathead/core';
import {promptPiece} from '../../lib/request/prompt_piece.js';

test('takes the first messages of a chat, the last of them cut', t => {
  const whole: Completion = {
    kind: 'completion',
    model: 'review',
    input: {
      kind: 'chat',
      messages: [
        {role: 'system', content: 'be brief'},
        {role: 'user', content: 'is the limit fair?'},
        {role: 'user', content: 'and who says so?'},
      ],
    },
    maxTokens: 100,
  };
  const half = promptPiece(whole, 0.5);
  t.is(half.maxTokens, 1);
  t.deepEqual(half.input, {
    kind: 'chat',
    messages: [
      {role: 'system', content: 'be brief'},
      {role: 'user', content: 'is the li'},
    ],
  });
  t.deepEqual(promptPiece(whole, 7).input, whole.input);
});
