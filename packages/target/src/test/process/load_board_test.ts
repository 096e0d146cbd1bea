import type {LoadReport} from '@oathead/core';
import test from 'ava';
import {LoadBoard} from '../../lib/process/load_board.js';
import type {LoadState} from '../../lib/process/load_board.js';
import {virtualTime} from '../service_fixture.js';

const IDLE: LoadState = {
  targetId: 't1',
  dataCentre: 'hall-a',
  leaving: false,
  cfgRevision: 1,
  versions: [],
  onlineRunning: 0,
  onlineQueued: 0,
  onlineCapacity: 8,
  batchRunning: 0,
  batchQueued: 0,
  batchRoom: 4,
  prefillTokens: 0,
  stepMs: 20,
  engineDown: false,
};

/** As measured over a loopback connection. */
const BYTES_PER_PUSH = 150;
const NEVER = () => new AbortController().signal;

function startBoard(subscribers: number) {
  const {clock, pass} = virtualTime();
  let state = IDLE;
  const settings = {pushMs: 50, bytesPerSecond: 10_000};
  const board = new LoadBoard(() => state, settings, clock);
  const got: LoadReport[][] = Array.from({length: subscribers}, () => []);
  for (const reports of got) {
    void (async () => {
      for await (const report of board.reports(NEVER())) reports.push(report);
    })();
  }
  const change = (over: Partial<LoadState>) => {
    state = {...state, ...over};
    board.touch();
  };
  return {got, change, pass};
}

test('a change is pushed at most every 50 ms, none when nothing changed', async t => {
  const {got, change, pass} = startBoard(1);
  await pass(0);
  t.is(got[0]!.length, 1);
  for (let running = 1; running <= 20; running++) {
    change({onlineRunning: running});
    await pass(10);
  }
  t.is(got[0]!.length, 5);
  await pass(1_000);
  t.is(got[0]!.length, 5);
  t.is(got[0]!.at(-1)?.onlineRunning, 20);
});

// Twenty entries subscribe. The pushes of one node to all of them share one
// budget of control traffic, but that the target leaves must not wait for it.
test('many subscribers share the rate; urgent changes go at once', async t => {
  const {got, change, pass} = startBoard(20);
  await pass(0);
  for (let running = 1; running <= 200; running++) {
    change({onlineRunning: running});
    await pass(10);
  }
  const pushes = got.flat().length - 20;
  t.true(
    pushes > 0 && pushes * BYTES_PER_PUSH <= 2 * 10_000,
    `${pushes} pushes`,
  );
  change({leaving: true});
  await pass(0);
  t.true(got.every(reports => reports.at(-1)?.leaving));
});
