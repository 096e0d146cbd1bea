import test from 'ava';
import {EngineError, type ServiceCall} from '@oathead/core';
import {FakeService} from '../../lib/process/fake_service.js';
import {VirtualClock} from '../../lib/process/virtual_clock.js';

function call(id: string): ServiceCall {
  const body = JSON.stringify({id, amount: 10});
  return {kind: 'call', service: 'limit-api', method: 'POST', path: 'x', body};
}

test('counts runs, also those whose answer nobody gets', async t => {
  const clock = new VirtualClock();
  const service = new FakeService(clock);
  const abort = new AbortController();
  const run = (id: string) =>
    clock.until(service.call(call(id), abort.signal)).catch(e => e as unknown);
  t.like(await run('a'), {status: 200});
  service.setFaults({fault: 'answers-500'});
  t.like(await run('a'), {status: 500});
  service.setFaults({fault: 'loses-answer'});
  t.like(await run('a'), {kind: 'lost'});
  service.setFaults({fault: 'refuses'});
  t.like(await run('a'), {kind: 'refused'});
  service.setFaults({fault: 'hangs'});
  clock.after(5000, () => abort.abort());
  t.true((await run('a')) instanceof EngineError);
  t.is(clock.now() >= 5000, true);
  t.is(service.runs('a'), 4);
});
