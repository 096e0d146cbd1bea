import test from 'ava';
import fc from 'fast-check';
import {parseBody} from '../../lib/request/body.js';
import {CHAT_CALL, PROMPT_CALL} from '../../lib/request/completion_api.js';

test('reads the usual shape of a conversation', t => {
  const body = {
    model: 'm',
    stream: true,
    max_completion_tokens: 5,
    stop: 'x',
    messages: [
      {role: 'system', content: 'Be brief.'},
      {role: 'user', content: [{type: 'text', text: 'Hi'}]},
    ],
  };
  const parsed = parseBody(JSON.stringify(body), CHAT_CALL);
  t.deepEqual(parsed, {
    ok: true,
    value: {
      stream: true,
      work: {
        kind: 'completion',
        model: 'm',
        maxTokens: 5,
        stop: ['x'],
        input: {
          kind: 'chat',
          messages: [
            {role: 'system', content: 'Be brief.'},
            {role: 'user', content: 'Hi'},
          ],
        },
      },
    },
  });
});

test('lists every problem with its path', t => {
  const parsed = parseBody('{"model": "", "max_tokens": 0}', PROMPT_CALL);
  if (parsed.ok || parsed.err.kind !== 'invalid-request') return t.fail();
  const paths = parsed.err.problems!.map(problem => problem.path);
  t.deepEqual(paths.sort(), ['max_tokens', 'model', 'prompt']);
  t.is(parsed.err.ran, 'not-run');
});

test('answers any text with a value or a refusal', t => {
  for (const schema of [CHAT_CALL, PROMPT_CALL]) {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        const parsed = parseBody(text, schema);
        return parsed.ok || parsed.err.ran === 'not-run';
      }),
    );
  }
  t.pass();
});
