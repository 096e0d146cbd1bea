import {SYSTEM_CLOCK} from '@oathead/core';
import test from 'ava';
import {processorTimeMs, watchStalls} from '../../lib/process/stall_watch.js';

/** Longer than a stall that may go unlogged, with room for a late check. */
const STALL_MS = 600;
/** Enough for the checks before and after the stall. */
const AROUND_MS = 300;

interface Stall {
  readonly ms: number;
  readonly processorMs: number;
}

async function longestStallOf(stall: () => void): Promise<Stall> {
  const stalls: Stall[] = [];
  using watch = watchStalls({
    clock: SYSTEM_CLOCK,
    processorTimeMs,
    counters: {count: () => {}},
    log: {event: (name, fields) => stalls.push(fields as unknown as Stall)},
  });
  const around = () =>
    new Promise<void>(resolve => setTimeout(resolve, AROUND_MS));
  await around();
  stall();
  await around();
  watch[Symbol.dispose]();
  return stalls.reduce((a, b) => (a.ms > b.ms ? a : b));
}

// Guards against a host that blocks itself and is taken for one that got no
// processor, and the reverse: its log must tell them apart.
test.serial('a stall by own work shows its processor time', async t => {
  const {ms, processorMs} = await longestStallOf(() => {
    const endMs = processorTimeMs() + STALL_MS;
    while (processorTimeMs() < endMs);
  });
  t.true(processorMs >= STALL_MS, `${processorMs} of ${ms} ms`);
});

test.serial('a stall without a processor shows none', async t => {
  const {ms, processorMs} = await longestStallOf(() => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
  });
  t.true(ms > STALL_MS / 2);
  t.true(processorMs < ms / 2, `${processorMs} of ${ms} ms`);
});

function standStill(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
}

const after = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

// Guards against a process that counts its time to stop from when it handles the
// signal: it stood still when that came, and is killed before it has ended.
test.serial('a signal may be as old as the stall before it', async t => {
  using watch = watchStalls({
    clock: SYSTEM_CLOCK,
    processorTimeMs,
    counters: {count: () => {}},
    log: {event: () => {}},
  });
  await after(AROUND_MS);
  const stalledAt = SYSTEM_CLOCK.now();
  standStill();
  t.true(watch.earliestSignalAt() <= stalledAt, 'before the next check');
  await after(0);
  t.true(watch.earliestSignalAt() <= stalledAt, 'right after the check');
  await after(AROUND_MS);
  t.true(watch.earliestSignalAt() >= stalledAt + STALL_MS, 'later');
});
