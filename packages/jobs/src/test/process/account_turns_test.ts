import test from 'ava';
import {
  inAccountTurns,
  runningByAccount,
} from '../../lib/process/account_turns.js';
import type {OwnedJob} from '../../lib/process/owned_job.js';

function items(account: string | undefined, count: number, isLate = false) {
  return [...Array(count).keys()].map(i => ({account, isLate, id: i}));
}

const NONE: ReadonlyMap<string | undefined, number> = new Map();
const noWeight = () => undefined;

function accountsIn(ordered: ReadonlyArray<{account: string | undefined}>) {
  return ordered.map(({account}) => account).join('');
}

// The few items of an account wait for all items of one that floods, whose
// items are shorter.
test('accounts take turns, whatever the length of their items', t => {
  const waiting = [...items('f', 5), ...items('a', 2)];
  t.is(accountsIn(inAccountTurns(waiting, NONE, noWeight)), 'fafafff');
  const running = new Map([['f', 2]]);
  t.is(accountsIn(inAccountTurns(waiting, running, noWeight)), 'aafffff');
});

// A flood that is late already goes before items that can be in time.
test('late items come last, in turns as well', t => {
  const waiting = [...items('f', 3, true), ...items('a', 2)];
  t.is(accountsIn(inAccountTurns(waiting, NONE, noWeight)), 'aafff');
});

// An account with four times the quota gets as many turns as another.
test('accounts take turns by weight; without a valid one by the mean', t => {
  const waiting = [...items('a', 4), ...items('b', 4), ...items('c', 4)];
  const weights: Readonly<Record<string, number>> = {a: 1, b: 3, c: NaN};
  const first = inAccountTurns(waiting, NONE, name => weights[name]);
  t.deepEqual(
    ['a', 'b', 'c'].map(
      name => first.slice(0, 6).filter(one => one.account === name).length,
    ),
    [1, 3, 2],
  );
});

// The order of items changes in deployments without accounts.
test('the order of one account, or without accounts, stays', t => {
  for (const account of [undefined, 'a']) {
    const waiting = [...items(account, 3, true), ...items(account, 3)];
    t.is(inAccountTurns(waiting, NONE, noWeight), waiting);
  }
});

// The share of an account with several jobs counts for one of them only.
test('running items are counted over all jobs of an account', t => {
  const job = (account: string, running: number, waiting: number) => {
    const stages = [
      ...Array<string>(running).fill('running'),
      ...Array<string>(waiting).fill('waiting'),
    ];
    const work = stages.map(kind => ({stage: {kind}}));
    return {head: {account}, work} as unknown as OwnedJob;
  };
  const running = runningByAccount([
    job('a', 2, 1),
    job('a', 1, 0),
    job('b', 0, 4),
  ]);
  t.deepEqual(
    [...running],
    [
      ['a', 3],
      ['b', 0],
    ],
  );
});

// Due items of one account wait while another submits a flood of short ones:
// eight slots, items of 2 s and 0.5 s, due 8 s after their submission.
test('a flood of items delays the due items of another account little', t => {
  const lateOf = (order: typeof inAccountTurns) => {
    const flood = items('flood', 400).map(one => ({...one, ms: 500}));
    const other = items('other', 12).map(one => ({...one, ms: 2000}));
    let waiting = [...flood, ...other];
    let running: Array<(typeof waiting)[number] & {endsAt: number}> = [];
    let late = 0;
    for (let now = 0; now < 40_000 && waiting.length > 0; now += 25) {
      running = running.filter(({endsAt}) => endsAt > now);
      const counts = new Map<string | undefined, number>();
      for (const {account} of running)
        counts.set(account, (counts.get(account) ?? 0) + 1);
      const ordered = order(waiting, counts, noWeight);
      const started = ordered.slice(0, 8 - running.length);
      waiting = waiting.filter(item => !started.includes(item));
      for (const item of started) {
        running.push({...item, endsAt: now + item.ms});
        if (item.account === 'other' && now + item.ms > 8000) late++;
      }
    }
    return late;
  };
  t.is(
    lateOf(waiting => waiting),
    12,
  );
  t.is(lateOf(inAccountTurns), 0);
});
