import test from 'ava';
import {
  AccountShares,
  divideRoom,
  maxMinLevel,
  shareIn,
  type ShareAsk,
} from '../../index.js';

function ask(account: string, overrides: Partial<ShareAsk> = {}): ShareAsk {
  const counted = {isRepeated: false, isReturning: false};
  const rest = {priority: 0, weight: 1, costMs: 500, ...counted};
  return {account, ...rest, ...overrides};
}

const FULL = {slots: 10, online: 10};

const RUN_MS = 500;

/**
 * Sends requests of several accounts at fixed rates to ten slots, each of which
 * takes a request for half a second, and a queue of two.
 */
class TenSlots {
  readonly shares = new AccountShares();
  private runs: number[] = [];
  private now = 0;

  /** @returns Number of requests refused for the share, by account. */
  send(
    perSecond: Readonly<Record<string, number>>,
    forMs: number,
    weights: Readonly<Record<string, number>> = {},
  ): Readonly<Record<string, number>> {
    const refused: Record<string, number> = {};
    for (const until = this.now + forMs; this.now < until; this.now++)
      for (const [account, rate] of Object.entries(perSecond)) {
        const sent = Math.floor((this.now * rate) / 1000);
        if (sent === Math.floor(((this.now + 1) * rate) / 1000)) continue;
        const weight = weights[account];
        if (!this.isOverShare(ask(account, {weight}))) continue;
        refused[account] = (refused[account] ?? 0) + 1;
      }
    return refused;
  }

  private isOverShare(request: ShareAsk): boolean {
    const {now, shares} = this;
    this.runs = this.runs.filter(startedAt => now - startedAt < RUN_MS);
    const online = this.runs.length;
    const verdict = shares.ask(request, {slots: 10, online}, now);
    const isOver = verdict.kind === 'over-share';
    if (online >= (isOver ? 10 : 12)) return isOver;
    shares.grant(request, now);
    this.runs.push(now);
    return false;
  }
}

// A claim gets more than it asks for, or less than a larger one.
test('what small claims leave is divided among the large ones by weight', t => {
  const claims = [
    {demand: 1, weight: 1},
    {demand: 100, weight: 2},
    {demand: 100, weight: 1},
  ];
  t.is(maxMinLevel(claims, 10), 3);
  t.is(maxMinLevel(claims, 201), Infinity);
  t.is(maxMinLevel(claims, -5), 0);
  t.is(maxMinLevel([], 10), Infinity);
});

// Less urgent accounts get slots that more urgent ones ask for.
test('the more urgent priority is served first', t => {
  const weight = 1;
  const claims = [
    {priority: 0, demand: 8, weight},
    {priority: 1, demand: 8, weight},
    {priority: 1, demand: 1, weight},
  ];
  const division = divideRoom(claims, {demand: 17, room: 12, slots: 12});
  t.is(shareIn(division, {priority: 0, weight}), Infinity);
  t.is(shareIn(division, {priority: 1, weight}), 3);
  t.is(shareIn(division, {priority: 4, weight}), Infinity, 'nobody asks there');
});

// An account with a bad weight gets no slot, or all.
test('an account without a valid weight gets the mean of the others', t => {
  for (const weight of [undefined, NaN, -1, 0, Infinity]) {
    const claims = [
      {priority: 0, demand: 30, weight: 2},
      {priority: 0, demand: 30, weight: 4},
      {priority: 0, demand: 30, weight},
    ];
    const division = divideRoom(claims, {demand: 90, room: 27, slots: 27});
    t.is(shareIn(division, {priority: 0, weight}), 9);
  }
});

// The callers of one account are refused although all slots can be used.
test('nobody is limited while there is room, or while an account is alone', t => {
  const shares = new AccountShares();
  for (let ms = 0; ms < 2000; ms += 10) {
    const flood = ask('flood');
    shares.ask(ask('other'), {slots: 10, online: 9}, ms);
    t.is(shares.ask(flood, {slots: 10, online: 9}, ms).kind, 'in-share');
    shares.grant(ask('other'), ms);
    shares.grant(flood, ms);
  }
  const alone = new AccountShares();
  for (let ms = 0; ms < 2000; ms += 10)
    t.is(alone.ask(ask('flood'), FULL, ms).kind, 'in-share');
});

// One account takes the slots of all others.
test('an account that floods is refused, the others are not', t => {
  const slots = new TenSlots();
  t.deepEqual(slots.send({flood: 11, a: 4, b: 4}, 2000), {});
  const refused = slots.send({flood: 66, a: 4, b: 4}, 2000);
  t.deepEqual(Object.keys(refused), ['flood']);
  const {use} = slots.shares.total(4000);
  t.true(use > 9, 'slots stay idle');
});

// A caller that sends one request after another is refused while an account
// floods, because its weight is small.
test('an account that uses less than a slot is never refused', t => {
  const weights = {flood: 1, rare: 1e-9};
  const refused = new TenSlots().send({flood: 60, rare: 1}, 5000, weights);
  t.deepEqual(Object.keys(refused), ['flood']);
});

// A change of the configuration takes effect for new accounts only.
test('a changed weight takes effect while an account is limited', t => {
  const slots = new TenSlots();
  const load = {a: 30, b: 30};
  slots.send(load, 1000);
  const even = slots.send(load, 2000);
  t.true(Math.abs(even['a']! - even['b']!) <= 8, JSON.stringify(even));
  const uneven = slots.send(load, 4000, {a: 3, b: 1});
  const granted = (account: string) => 120 - (uneven[account] ?? 0);
  t.true(granted('a') > 2 * granted('b'), JSON.stringify(uneven));
});

// A caller that comes back is refused for good, while others of its account are
// admitted for the first time.
test('returning requests go before new ones of their account, up to a bound', t => {
  const slots = new TenSlots();
  slots.send({flood: 66, a: 4, b: 4}, 3000);
  const {shares} = slots;
  const queued = {slots: 10, online: 11};
  let now = 3000;
  const isInShare = (isReturning: boolean) => {
    const request = ask('flood', {isReturning, isRepeated: true});
    return shares.ask(request, queued, now).kind === 'in-share';
  };
  t.false(isInShare(true), 'far beyond the share');
  while (!isInShare(true)) now += 10;
  t.false(isInShare(false));
  while (!isInShare(false)) now += 10;
  t.true(isInShare(true));
});

// Each poll of a waiting request counts as a further request.
test('a repeated search is no further demand', t => {
  const shares = new AccountShares();
  shares.ask(ask('a'), FULL, 0);
  for (let i = 0; i < 50; i++)
    shares.ask(ask('a', {isRepeated: true}), FULL, 0);
  t.is(shares.total(0).demand, 0.5);
  shares.grant(ask('b', {isRepeated: true}), 0);
  t.is(shares.total(0).demand, 1, 'its demand was counted elsewhere');
  shares.passOn(ask('a'), 0);
  t.is(shares.total(0).demand, 0.5, 'its demand is counted elsewhere');
});

// The state grows with every account of the configuration, or the largest is
// lost among them.
test('the number of accounts in memory is bounded, the largest stay', t => {
  const shares = new AccountShares();
  const queued = {slots: 100, online: 110};
  for (let ms = 0; ms < 2000; ms++) {
    for (let i = 0; i < 10; i++) {
      const request = ask(`a${(ms * 10 + i) % 5000}`);
      shares.ask(request, queued, ms);
      shares.grant(request, ms);
    }
    const flood = ask('flood');
    if (shares.ask(flood, queued, ms).kind === 'in-share')
      shares.grant(flood, ms);
  }
  t.true(shares.size <= 1300);
  t.is(shares.largest(1, 2000)[0]!.account, 'flood');
  t.is(shares.ask(ask('flood'), queued, 2000).kind, 'over-share');
  t.is(shares.ask(ask('new'), queued, 2000).kind, 'in-share');
  shares.ask(ask('new'), queued, 60_000);
  t.is(shares.size, 1, 'accounts without recent use are dropped');
});

// A bad estimate, or a clock that went back, makes all shares NaN for good.
test('bad values do not spoil the state', t => {
  const shares = new AccountShares();
  for (const costMs of [NaN, -1, 0, Infinity]) {
    const request = ask('a', {costMs});
    shares.ask(request, FULL, 100);
    shares.grant(request, 50);
  }
  shares.ask(ask('b', {priority: 1e9}), {slots: 0, online: 0}, 60);
  const {demand, use} = shares.total(200);
  t.true(Number.isFinite(demand) && Number.isFinite(use));
  t.is(shares.ask(ask('c'), FULL, 200).kind, 'in-share');
});
