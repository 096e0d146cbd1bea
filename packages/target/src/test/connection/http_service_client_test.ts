import test from 'ava';
import {EngineError, type ServiceCall} from '@oathead/core';
import {ServiceStandIn} from '@oathead/stand-ins';
import {HttpServiceClient} from '../../lib/connection/http_service_client.js';

const NEVER = new AbortController().signal;

function call(id: string): ServiceCall {
  return {
    kind: 'call',
    service: 'limit-api',
    method: 'POST',
    path: 'limits/7?bank=a',
    contentType: 'application/json',
    body: JSON.stringify({id}),
  };
}

test('answers with what the service says, and tells what ran', async t => {
  const standIn = new ServiceStandIn();
  await standIn.listen();
  const client = new HttpServiceClient(standIn.server.url);
  const {service} = standIn;
  const res = await client.call(call('a'), NEVER);
  t.like(res, {status: 200, contentType: 'application/json'});
  t.like(JSON.parse(res.body), {path: 'limits/7?bank=a', run: 1});
  service.setFaults({fault: 'answers-500'});
  t.is((await client.call(call('a'), NEVER)).status, 500);
  const kindOf = async (signal = NEVER) => {
    const err = await t.throwsAsync(client.call(call('a'), signal), {
      instanceOf: EngineError,
    });
    return err?.kind;
  };
  service.setFaults({fault: 'refuses'});
  t.is(await kindOf(), 'refused');
  t.is(service.runs('a'), 2);
  service.setFaults({fault: 'loses-answer'});
  t.is(await kindOf(), 'lost');
  service.setFaults({fault: 'hangs'});
  const abort = new AbortController();
  const hanging = kindOf(abort.signal);
  while (service.runs('a') < 4)
    await new Promise(resolve => setImmediate(resolve));
  abort.abort();
  t.is(await hanging, 'lost');
  await standIn[Symbol.asyncDispose]();
  t.is(await kindOf(), 'refused');
});
