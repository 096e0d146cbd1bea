import test from 'ava';
import {request, send, startService} from '../service_fixture.js';

test('streams an answer: started, tokens, done', async t => {
  const {service, engine, pass} = await startService();
  const caller = send(service, request({id: 'a'}));
  const stream = await engine.stream(0);
  t.deepEqual(caller.got, [{kind: 'started', version: 'v1'}]);
  stream.tokens('yes');
  await pass(0);
  stream.tokens(',', ' it', ' is');
  await pass(10);
  stream.done();
  await caller.ended;
  t.deepEqual(caller.got.slice(1), [
    {kind: 'tokens', index: 0, count: 1, text: 'yes'},
    {kind: 'tokens', index: 1, count: 3, text: ', it is'},
    {
      kind: 'done',
      answer: {
        kind: 'completion',
        text: 'yes, it is',
        usage: {promptTokens: 3, completionTokens: 4},
        finishReason: 'stop',
        version: 'v1',
      },
    },
  ]);
});
