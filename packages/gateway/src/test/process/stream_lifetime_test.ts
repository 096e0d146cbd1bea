import test from 'ava';
import {StreamLifetime, TAKE_UP_MS} from '../../lib/process/stream_lifetime.js';

function newLifetime() {
  const time = {now: 0};
  const lifetime = new StreamLifetime(() => time.now);
  const adopt = (timeoutMs: number) =>
    lifetime.adopt([
      {resumable: true, timeoutMs},
      {resumable: true, timeoutMs: 1000},
      {resumable: false, timeoutMs: 900_000},
    ]);
  return {time, lifetime, adopt};
}

// Guards against streams that hosts forget while they run.
test('streams last as long as the longest route that may have begun them', t => {
  const {lifetime, adopt} = newLifetime();
  adopt(30_000);
  t.is(lifetime.ms, 30_000 + TAKE_UP_MS);
  adopt(60_000);
  t.is(lifetime.ms, 60_000 + TAKE_UP_MS);
});

// Guards against the same when a configuration shortens the timeout of a route.
test('a shorter timeout counts once no stream of before can be taken up', t => {
  const {time, lifetime, adopt} = newLifetime();
  adopt(30_000);
  time.now = 50_000;
  adopt(4000);
  time.now += 30_000 + TAKE_UP_MS;
  t.is(lifetime.ms, 30_000 + TAKE_UP_MS);
  time.now += 1;
  t.is(lifetime.ms, 4000 + TAKE_UP_MS);
});

// Guards against the same at a host that is told of streams while it starts.
test('streams last for good before a configuration is known', t => {
  const {lifetime} = newLifetime();
  t.is(lifetime.ms, Infinity);
});

test('only streams that may be taken up count', t => {
  const {lifetime} = newLifetime();
  lifetime.adopt([{resumable: false, timeoutMs: 60_000}]);
  t.is(lifetime.ms, TAKE_UP_MS);
});
