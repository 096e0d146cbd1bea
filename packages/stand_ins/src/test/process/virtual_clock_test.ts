import test from 'ava';
import {sleep} from '@oathead/core';
import {VirtualClock} from '../../lib/process/virtual_clock.js';

test('fires timers at their times, also those set on the way', async t => {
  const clock = new VirtualClock();
  const times: number[] = [];
  const run = async () => {
    for (let i = 0; i < 4; i++) {
      await sleep(clock, 10);
      times.push(clock.now());
    }
  };
  void run();
  await clock.advance(30);
  t.deepEqual(times, [10, 20, 30]);
  t.is(clock.now(), 30);
  await clock.advance(5);
  t.is(clock.now(), 35);
});

test('does not fire what was disposed of', async t => {
  const clock = new VirtualClock();
  const timer = clock.after(10, () => t.fail());
  timer[Symbol.dispose]();
  await clock.advance(20);
  t.is(clock.now(), 20);
});

test('waits for a promise, but not for ever', async t => {
  const clock = new VirtualClock();
  await clock.until(sleep(clock, 500));
  t.is(clock.now(), 500);
  await t.throwsAsync(clock.until(new Promise(() => {})));
  await t.throwsAsync(clock.until(sleep(clock, 5000), 100));
});
