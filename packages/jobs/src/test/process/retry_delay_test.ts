import test from 'ava';
import {retryDelayMs, type FailedItem} from '../../lib/process/retry_delay.js';

const ITEM: FailedItem = {
  attemptsLeft: 2,
  sinceFailureMs: 0,
  remainingMs: 2000,
  untilDueMs: 16_000,
  untilExpiryMs: 58_000,
};

/** @returns Times of the attempts of an item that always fails at once. */
function attemptTimes(attempts: number, dueMs: number, expiryMs: number) {
  const times = [0];
  for (let ms = 0; ms < expiryMs && times.length < attempts; ms += 25) {
    const sinceFailureMs = ms - times.at(-1)!;
    const delayMs = retryDelayMs({
      ...ITEM,
      attemptsLeft: attempts - times.length,
      sinceFailureMs,
      untilDueMs: dueMs - ms,
      untilExpiryMs: expiryMs - ms,
    });
    if (delayMs <= 0) times.push(ms);
  }
  return times;
}

// Guards against attempts that are used up while the targets of a service fail
// for a moment, although the item is due much later.
test('the delays of a failed item grow with the attempts used', t => {
  const [first, second, third] = attemptTimes(3, 18_000, 60_000);
  t.true(second! - first! >= 1000, `${second}`);
  t.true(third! - second! >= 2 * (second! - first!), `${third}`);
});

// Guards against an item that is late, or is given up with attempts left,
// because it waited too long.
test('all attempts can end before an item is due, or before it expires', t => {
  for (const attempts of [1, 2, 3, 5, 10]) {
    for (const dueMs of [3000, 5000, 18_000, 600_000]) {
      const times = attemptTimes(attempts, dueMs, dueMs + 40_000);
      t.is(times.length, attempts, `${attempts} until ${dueMs}`);
      t.true(times.at(-1)! <= dueMs - ITEM.remainingMs, `${times} ${dueMs}`);
    }
    const times = attemptTimes(attempts, 0, 8000);
    t.is(times.length, attempts);
    t.true(times.at(-1)! <= 8000 - ITEM.remainingMs, `${times}`);
  }
});

test('an item runs at once if it has no time to spare', t => {
  t.true(retryDelayMs({...ITEM, untilDueMs: 2000}) <= 0);
  const late = {...ITEM, untilDueMs: -1000, untilExpiryMs: 2000};
  t.true(retryDelayMs(late) <= 0);
  t.true(retryDelayMs({...late, untilExpiryMs: 30_000}) > 0);
});
