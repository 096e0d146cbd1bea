/** Runs a verb and gathers what it writes; its waits end at once. */
import {seededRandom} from '@oathead/core';
import type {Clock} from '@oathead/core';
import {main} from '../../lib/process/main.js';

const NOW = Date.UTC(2030, 0, 31);

/** Each wait ends in the next turn and takes its time off the clock. */
function hastyClock(): Clock {
  let now = 0;
  return {
    now: () => now,
    wallTime: () => NOW + now,
    after(delayMs, callback) {
      const timer = setImmediate(() => {
        now += delayMs;
        callback();
      });
      return {[Symbol.dispose]: () => clearImmediate(timer)};
    },
  };
}

export async function runCli(
  argv: readonly string[],
  env: Readonly<Record<string, string>> = {},
) {
  let out = '';
  let err = '';
  const exitCode = await main(argv, {
    terminal: {
      out: text => {
        out += text;
      },
      err: text => {
        err += text;
      },
      interactive: false,
    },
    env,
    clock: hastyClock(),
    random: seededRandom(1),
    signal: new AbortController().signal,
  });
  return {exitCode, out, err};
}
