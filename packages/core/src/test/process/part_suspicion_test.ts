import test from 'ava';
import {PartSuspicion} from '../../lib/process/part_suspicion.js';
import {seededRandom} from '../../lib/process/random.js';

const SERVICE = 's';
const STEP_MS = 10;
const RUN_MS = 700;
const REPLAY_MS = 30_000;
/** When the bad requests begin, in milliseconds. */
const BAD_FROM_MS = 12_000;

/** Crashes of targets under a part, 200 ms apart. */
function crash(suspicion: PartSuspicion, part: string, count: number): void {
  for (let i = 0; i < count; i++)
    suspicion.recordCrash(SERVICE, part, {
      target: `${part} ${i}`,
      atMs: i * 200,
    });
}

/** Lets runs with a part get through every 300 ms. */
function complete(
  suspicion: PartSuspicion,
  part: string,
  fromMs: number,
  toMs: number,
): void {
  for (let at = fromMs; at <= toMs; at += 300)
    suspicion.recordCompletedRun(SERVICE, [part], at);
}

test('a part is guilty if only others get through after its crashes', t => {
  const suspicion = new PartSuspicion();
  crash(suspicion, 'bad', 3);
  complete(suspicion, 'first', 100, 4000);
  t.is(suspicion.guiltyOf('bad', 2890), undefined);
  t.is(suspicion.guiltyOf('bad', 2900)?.length, 3);
  t.is(suspicion.guiltyOf('first', 2900), undefined);
});

test('five crashes show a part sooner', t => {
  const suspicion = new PartSuspicion();
  crash(suspicion, 'bad', 5);
  complete(suspicion, 'first', 100, 4000);
  t.is(suspicion.guiltyOf('bad', 2790), undefined);
  t.is(suspicion.guiltyOf('bad', 2800)?.length, 5);
});

// Guards against a part that is not found while many targets crash: of its crashes
// only those were remembered that were too recent to show anything.
for (const gapMs of [20, 60, 125, 180])
  test(`five crashes show a part also if one follows every ${gapMs} ms`, t => {
    const suspicion = new PartSuspicion();
    const fifthAt = 4 * gapMs;
    for (let at = 0; at <= fifthAt + 2000; at += gapMs)
      suspicion.recordCrash(SERVICE, 'bad', {target: `${at}`, atMs: at});
    complete(suspicion, 'first', 100, fifthAt + 2000);
    t.is(suspicion.guiltyOf('bad', fifthAt + 1990), undefined);
    t.not(suspicion.guiltyOf('bad', fifthAt + 2000), undefined);
  });

test('a crash that breaks several runs counts once', t => {
  const suspicion = new PartSuspicion();
  for (let i = 0; i < 5; i++)
    suspicion.recordCrash(SERVICE, 'bad', {target: 'one', atMs: i});
  complete(suspicion, 'first', 100, 4000);
  t.is(suspicion.guiltyOf('bad', 4000), undefined);
});

// Guards against a route that is refused because its targets crash for another
// reason: nothing gets through for some seconds, and then all parts do.
test('no part is guilty while the whole service is down', t => {
  const suspicion = new PartSuspicion();
  crash(suspicion, 'first', 5);
  for (const at of [4000, 4010, 4020, 4030])
    suspicion.recordCompletedRun(SERVICE, ['other'], at);
  t.is(suspicion.guiltyOf('first', 4040), undefined);
  t.is(suspicion.guiltyOf('first', 8000), undefined);
});

// Guards against verdicts on old evidence: a write may be performed seconds
// after another run with the part has got through.
test('crashes from before a run that got through do not count', t => {
  const suspicion = new PartSuspicion();
  complete(suspicion, 'part', 3000, 3000);
  crash(suspicion, 'part', 5);
  complete(suspicion, 'other', 100, 6000);
  t.is(suspicion.guiltyOf('part', 6000), undefined);
});

test('a part that another host has cleared is not guilty', t => {
  const suspicion = new PartSuspicion();
  crash(suspicion, 'part', 3);
  complete(suspicion, 'other', 100, 4000);
  suspicion.forgetCrash('part', 'part 0');
  t.is(suspicion.guiltyOf('part', 4000), undefined);
});

test('crashes that are long past do not count', t => {
  const suspicion = new PartSuspicion();
  crash(suspicion, 'part', 3);
  complete(suspicion, 'other', 100, 4000);
  t.is(suspicion.guiltyOf('part', 31_000), undefined);
});

/** A host that has seen sound runs for long, one each two seconds. */
function withLittleTraffic(untilMs: number): PartSuspicion {
  const suspicion = new PartSuspicion();
  for (let at = 0; at <= untilMs; at += 2000)
    suspicion.recordCompletedRun(SERVICE, ['first'], at);
  return suspicion;
}

// Guards against a sound part that is held at a host which has just started: it has
// read old crashes, and has not seen for long which parts get through.
test('crashes that others have seen do not tell which parts are new', t => {
  const suspicion = new PartSuspicion();
  suspicion.recordCrash(SERVICE, 'old', {target: 'old', atMs: 0});
  const startedAt = 1_800_000;
  for (let i = 0; i < 3; i++) {
    const crash = {target: `${i}`, atMs: startedAt + i * 200};
    suspicion.recordBrokenRun(SERVICE, ['first'], crash);
  }
  complete(suspicion, 'other', startedAt, startedAt + 4000);
  t.is(suspicion.guiltyOf('first', startedAt + 1500), undefined);
  t.is(suspicion.guiltyOf('first', startedAt + 3000)?.length, 3);
});

// Guards against a part that crashes target after target at little traffic and is
// never found: no host sees two other runs get through within a second.
test('three crashes apart show a new part at little traffic', t => {
  const suspicion = withLittleTraffic(14_000);
  const crashAt = (atMs: number) => {
    for (const part of ['first', 'bad'])
      suspicion.recordCrash(SERVICE, part, {target: `${atMs}`, atMs});
    suspicion.recordCompletedRun(SERVICE, ['first'], atMs + 1500);
  };
  crashAt(14_500);
  crashAt(22_500);
  t.is(suspicion.guiltyOf('bad', 29_000), undefined);
  crashAt(30_500);
  t.is(suspicion.guiltyOf('bad', 30_500)?.length, 3);
  t.is(suspicion.guiltyOf('first', 30_500), undefined);
});

// Guards against sound parts that are blocked after one burst of crashes.
test('crashes of one burst do not show a part that is seldom asked for', t => {
  const suspicion = withLittleTraffic(14_000);
  for (const atMs of [14_100, 14_300, 14_500, 14_700])
    suspicion.recordCrash(SERVICE, 'rare', {target: `${atMs}`, atMs});
  suspicion.recordCompletedRun(SERVICE, ['first'], 16_000);
  t.is(suspicion.guiltyOf('rare', 16_100), undefined);
});

// The same if targets crash again and again for another reason.
test('a part that stands in some of the crashes apart is not shown by them', t => {
  const suspicion = withLittleTraffic(14_000);
  for (let i = 0; i < 7; i++) {
    const atMs = 14_500 + 2500 * i;
    const part = i % 2 === 0 ? 'rare' : 'other';
    suspicion.recordCrash(SERVICE, part, {target: `${atMs}`, atMs});
    suspicion.recordCompletedRun(SERVICE, ['first'], atMs + 500);
  }
  t.is(suspicion.guiltyOf('rare', 32_000), undefined);
  t.is(suspicion.guiltyOf('other', 32_000), undefined);
});

/** What befalls the fleet of a replay. */
interface Replay {
  readonly soundPerSecond: number;
  /** Requests that crash what runs them, from {@link BAD_FROM_MS} on. */
  readonly badPerSecond: number;
  /** Targets that crash at once for another reason, every four seconds. */
  readonly otherCrashes: number;
  /** When the bad requests begin; {@link BAD_FROM_MS} by default. */
  readonly badFromMs?: number;
}

/** Whether requests with a part are refused, for good or for a short time. */
function isRefused(
  suspicion: PartSuspicion,
  part: string,
  nowMs: number,
): boolean {
  const crashes =
    suspicion.guiltyOf(part, nowMs) ??
    suspicion.suspectedWhileDown(part, nowMs);
  return crashes !== undefined;
}

/**
 * Replays a load on targets that are back 3 s after a crash. Sound requests
 * have one of nine first parts, one of which half of them have; bad ones have
 * that, too.
 *
 * @returns When the bad part was found guilty, how many targets it had crashed
 *     by then, and how often another part was guilty.
 */
function replay(
  seed: number,
  {soundPerSecond, badPerSecond, otherCrashes, badFromMs = BAD_FROM_MS}: Replay,
) {
  const random = seededRandom(seed);
  const suspicion = new PartSuspicion();
  const targets = Array.from({length: 13}, () => ({starts: 0, upAt: 0}));
  let runs: Array<{target: number; parts: string[]; endAt: number}> = [];
  let crashes = 0;
  let innocentsRefused = 0;
  let foundAt: number | undefined;
  const crashAt = (target: number, now: number, parts: readonly string[]) => {
    const broken = runs.filter(run => run.target === target);
    runs = runs.filter(run => run.target !== target);
    const id = `${target} ${targets[target]!.starts++}`;
    for (const run of [{parts}, ...broken])
      suspicion.recordBrokenRun(SERVICE, run.parts, {target: id, atMs: now});
    targets[target]!.upAt = now + 3000;
  };
  for (let now = 0; now < REPLAY_MS; now += STEP_MS) {
    for (const {parts} of runs.filter(run => run.endAt <= now))
      suspicion.recordCompletedRun(SERVICE, parts, now);
    runs = runs.filter(run => run.endAt > now);
    if (now % 4000 === 2000)
      for (let i = 0; i < otherCrashes; i++) crashAt(random.int(13), now, []);
    const up = [...targets.keys()].filter(i => targets[i]!.upAt <= now);
    if (up.length === 0) continue;
    const target = up[random.int(up.length)]!;
    const isDue = (perSecond: number) =>
      random.float() < (perSecond * STEP_MS) / 1000;
    if (isDue(soundPerSecond)) {
      const part = `first ${Math.max(0, random.int(16) - 7)}`;
      if (isRefused(suspicion, part, now)) innocentsRefused++;
      const endAt = now + RUN_MS * (0.7 + 0.6 * random.float());
      runs.push({target, parts: [part], endAt});
    }
    if (now < badFromMs || foundAt !== undefined || !isDue(badPerSecond))
      continue;
    if (isRefused(suspicion, 'bad', now)) foundAt = now;
    else {
      crashAt(target, now, ['first 0', 'bad']);
      crashes++;
    }
  }
  return {foundAt, crashes, innocentsRefused};
}

const SEEDS = Array.from({length: 30}, (unused, i) => i + 1);

// Guards against a part that ends a whole fleet, and against routes that are
// refused for one of their parts, at the rates of a lull and of a rise.
for (const soundPerSecond of [6, 56, 110]) {
  for (const badPerSecond of [1, 4, 10]) {
    test(`a bad part is found: ${badPerSecond} beside ${soundPerSecond} a second`, t => {
      const load = {soundPerSecond, badPerSecond, otherCrashes: 0};
      const found = SEEDS.map(seed => replay(seed, load));
      t.deepEqual(
        found.filter(one => one.innocentsRefused > 0),
        [],
      );
      t.true(found.every(one => one.foundAt !== undefined));
      const crashes = found.map(one => one.crashes).sort((a, b) => a - b);
      t.log(`crashes until found: ${crashes.join(' ')}`);
    });
  }
}

// Guards against routes that are refused because targets crash for other
// reasons, some or all of them at once.
for (const otherCrashes of [4, 8, 13, 40]) {
  test(`no part is guilty if ${otherCrashes} crashes come at once`, t => {
    const load = {soundPerSecond: 56, badPerSecond: 0, otherCrashes};
    const found = SEEDS.map(seed => replay(seed, load));
    t.deepEqual(
      found.filter(one => one.innocentsRefused > 0),
      [],
    );
  });
}

test('a bad part is found while targets crash for other reasons, too', t => {
  const load = {soundPerSecond: 56, badPerSecond: 4, otherCrashes: 3};
  const found = SEEDS.map(seed => replay(seed, load));
  t.true(found.every(one => one.foundAt !== undefined));
  t.log(`crashes until found: ${found.map(one => one.crashes).join(' ')}`);
  const refused = found.reduce((sum, one) => sum + one.innocentsRefused, 0);
  const sent = (SEEDS.length * load.soundPerSecond * REPLAY_MS) / 1000;
  t.true(refused < sent / 100, `${refused} of some ${sent}`);
});

// Guards against a service that stays down for good: hosts that have just started
// do not know whether a part is new, and its targets crash as they come back, so
// that nothing gets through that could show it.
test('a bad part is found while nothing gets through', t => {
  const badFromMs = 200;
  const load = {
    soundPerSecond: 14,
    badPerSecond: 14,
    otherCrashes: 0,
    badFromMs,
  };
  const found = SEEDS.map(seed => replay(seed, load));
  const late = found.filter(({foundAt = Infinity}) => foundAt > 4000);
  t.deepEqual(late, []);
  t.deepEqual(
    found.filter(one => one.innocentsRefused > 0),
    [],
  );
});

/** Lets targets crash one after the other under requests with these parts. */
function crashAll(
  suspicion: PartSuspicion,
  runs: ReadonlyArray<readonly string[]>,
  fromMs: number,
): void {
  for (const [i, parts] of runs.entries()) {
    const atMs = fromMs + i * 300;
    const crash = {target: `${atMs}`, atMs};
    suspicion.recordBrokenRun(SERVICE, parts, crash);
  }
}

// Guards against a service all of whose requests are refused because its targets
// crash for another reason.
test('a part of all requests is not held while a service is down', t => {
  const suspicion = new PartSuspicion();
  crashAll(suspicion, Array(20).fill(['first']), 0);
  t.is(suspicion.suspectedWhileDown('first', 6000), undefined);
});

test('a part of half of the requests is not held while a service is down', t => {
  const suspicion = new PartSuspicion();
  const runs = Array.from({length: 20}, (unused, i) => [`${i % 2}`]);
  crashAll(suspicion, runs, 0);
  t.is(suspicion.suspectedWhileDown('0', 6000), undefined);
  t.is(suspicion.suspectedWhileDown('1', 6000), undefined);
});

test('crashes that go on without a part show that it is not the cause', t => {
  const suspicion = new PartSuspicion();
  const runs = Array.from({length: 10}, (unused, i) =>
    i === 4 || i === 9 ? ['other'] : ['most'],
  );
  crashAll(suspicion, runs, 0);
  t.not(suspicion.suspectedWhileDown('most', 3000), undefined);
  t.false(suspicion.crashesGoOn(SERVICE, 3000));
  crashAll(suspicion, [['other'], ['other'], ['other']], 4100);
  t.true(suspicion.crashesGoOn(SERVICE, 3000));
});

test('a part is not held while others get through', t => {
  const suspicion = new PartSuspicion();
  crashAll(suspicion, Array(8).fill(['bad']), 0);
  suspicion.recordBrokenRun(SERVICE, ['other'], {target: 'x', atMs: 2100});
  suspicion.recordBrokenRun(SERVICE, ['other'], {target: 'y', atMs: 2200});
  t.not(suspicion.suspectedWhileDown('bad', 2300), undefined);
  suspicion.recordCompletedRun(SERVICE, ['other'], 2310);
  suspicion.recordCompletedRun(SERVICE, ['other'], 2320);
  t.is(suspicion.suspectedWhileDown('bad', 2330), undefined);
});
