import {getEventListeners} from 'node:events';
import test from 'ava';
import {TargetRun} from '../../lib/request/target_run.js';
import {request} from '../service_fixture.js';

const FOLLOWERS = 12;

// Guards against a run whose wait listens once more for each follower that
// leaves before it has started.
test('a run that waits for its hand-over listens once, and not after it', async t => {
  const run = new TargetRun(request());
  const {signal} = new AbortController();
  const listeners = () => getEventListeners(signal, 'abort').length;
  run.follow();
  const waiting = run.handedOver(signal);
  for (let i = 0; i < FOLLOWERS; i++) {
    run.follow()[Symbol.dispose]();
    await Promise.resolve();
    await Promise.resolve();
  }
  t.is(listeners(), 1);
  run.startSeen();
  await waiting;
  t.is(listeners(), 0);
});
