import {getEventListeners} from 'node:events';
import test from 'ava';
import {startDeclaredFleet} from '../../lib/process/declared_fleet.js';
import {send} from '../../lib/request/caller.js';

const REQUESTS = 12;

// Guards against listeners that pile up on the signals of a caller and of an
// entry, which both outlive the request.
test('a request that has ended no longer listens to its signals', async t => {
  const options = {seed: 1, entries: 1, modelTargets: 1, serviceTargets: 0};
  using fleet = await startDeclaredFleet(options);
  const {signal} = new AbortController();
  const {died} = fleet.first.host;
  const listeners = (of: AbortSignal) => getEventListeners(of, 'abort').length;
  const before = listeners(died);
  const req = {method: 'GET', path: '/v1/batch-jobs/none'};
  for (let i = 0; i < REQUESTS; i++) {
    const reply = await fleet.clock.until(
      send(fleet, fleet.first, req, signal),
    );
    t.is(reply.end, 'ended');
  }
  t.is(listeners(signal), 0);
  t.is(listeners(died), before);
});
