import test from 'ava';
import {PartSuspicion} from '../../lib/process/part_suspicion.js';
import {seededRandom} from '../../lib/process/random.js';
import {trialsAllowed} from '../../lib/process/trials_allowed.js';

const SERVICE = 's';
const HOSTS = 3;
const TARGETS = 13;
const STEP_MS = 50;
const RUN_MS = 700;
const DOWN_MS = 3000;
/** Sound requests come before the first bad one. */
const WARM_UP_MS = 12_000;
/** Time until hosts know what others have seen. */
const SHARED_AFTER_MS = 300;
/** Bounds of the users: three requests later than that after the fifth crash. */
const STABILITY_MS = 3000;
const CRASHES = 5;
const MAX_LATER = 3;
const SEEDS = Array.from({length: 20}, (unused, i) => i + 1);

/** What befalls the fleet of a replay. */
interface Replay {
  readonly soundPerSecond: number;
  /** Pause between two requests with the bad part; none by default. */
  readonly badPauseMs?: number;
  /** How often each of them is sent, at the most. */
  readonly sends?: number;
  readonly lastsMs: number;
  /** Pause between two crashes of one bad machine; none by default. */
  readonly badMachineMs?: number;
  /** Every so often a third of the targets crash, each 100 ms one. */
  readonly waveMs?: number;
  /** Pause between two requests with each of the rare sound parts. */
  readonly rarePauseMs?: number;
  /** When all hosts lose what they hold in memory. */
  readonly restartAtMs?: number;
}

interface Run {
  readonly parts: readonly string[];
  readonly target: string;
  readonly host: number;
  readonly endAt: number;
}

/** Hosts that share crashes and what clears them, and their targets. */
class Fleet {
  readonly hosts = Array.from({length: HOSTS}, () => new PartSuspicion());
  /** Crashes by part that no run has cleared, as the store holds them. */
  private readonly rows = new Map<string, Map<string, number>>();
  private readonly upAt = Array.from({length: TARGETS}, () => 0);
  private readonly starts = Array.from({length: TARGETS}, () => 0);
  private runs: Run[] = [];
  private pending: Array<{at: number; act: () => void}> = [];
  now = 0;

  constructor(private readonly random: ReturnType<typeof seededRandom>) {}

  /** @returns Whether it began: there must be a target that is up. */
  start(parts: readonly string[], crashes: boolean): boolean {
    const up = [...this.upAt.keys()].filter(i => this.upAt[i]! <= this.now);
    if (up.length === 0) return false;
    const target = up[this.random.int(up.length)]!;
    const host = this.random.int(HOSTS);
    const endAt = this.now + RUN_MS * (0.7 + 0.6 * this.random.float());
    this.runs.push({parts, target: this.idOf(target), host, endAt});
    if (crashes) this.crash(target);
    return true;
  }

  crash(index: number): void {
    if (this.upAt[index]! > this.now) return;
    const target = this.idOf(index);
    const broken = this.runs.filter(run => run.target === target);
    this.runs = this.runs.filter(run => run.target !== target);
    this.starts[index]!++;
    this.upAt[index] = this.now + DOWN_MS;
    for (const {parts, host} of broken) this.recordBroken(host, parts, target);
  }

  /** Lets a step of time pass. */
  step(): void {
    this.now += STEP_MS;
    for (const {act} of this.pending.filter(({at}) => at <= this.now)) act();
    this.pending = this.pending.filter(({at}) => at > this.now);
    const ended = this.runs.filter(run => run.endAt <= this.now);
    this.runs = this.runs.filter(run => run.endAt > this.now);
    for (const {host, parts} of ended) this.recordCompleted(host, parts);
  }

  restart(): void {
    for (let host = 0; host < HOSTS; host++) {
      this.hosts[host] = new PartSuspicion();
      for (const [part, crashes] of this.rows)
        for (const [target, atMs] of crashes)
          this.hosts[host]!.recordCrash(SERVICE, part, {target, atMs});
    }
  }

  /** @returns The crashes of which any host finds a part guilty. */
  guiltyOf(part: string) {
    for (const host of this.hosts) {
      const crashes = host.guiltyOf(part, this.now);
      if (crashes) return crashes;
    }
    return undefined;
  }

  private idOf(index: number): string {
    return `${index} ${this.starts[index]!}`;
  }

  private recordBroken(
    host: number,
    parts: readonly string[],
    target: string,
  ): void {
    const crash = {target, atMs: this.now};
    for (const part of this.hosts[host]!.recordBrokenRun(
      SERVICE,
      parts,
      crash,
    )) {
      const known = this.rows.get(part) ?? new Map<string, number>();
      this.rows.set(part, known.set(target, this.now));
      this.share(() => {
        if (!this.rows.get(part)?.has(target)) return;
        for (const one of this.hosts) one.recordCrash(SERVICE, part, crash);
      });
    }
  }

  private recordCompleted(host: number, parts: readonly string[]): void {
    const cleared = this.hosts[host]!.recordCompletedRun(
      SERVICE,
      parts,
      this.now,
    );
    for (const [part, crashes] of cleared)
      for (const {target} of crashes) {
        this.rows.get(part)?.delete(target);
        this.share(() => {
          for (const one of this.hosts) one.forgetCrash(part, target);
        });
      }
  }

  private share(act: () => void): void {
    this.pending.push({at: this.now + SHARED_AFTER_MS, act});
  }
}

/**
 * @returns Which parts were found guilty, the crashes under the bad one by then,
 *     and how many requests with it reached targets later than allowed.
 */
function replay(seed: number, load: Replay) {
  const {badPauseMs, sends = 3, badMachineMs, waveMs, rarePauseMs} = load;
  const random = seededRandom(seed);
  const fleet = new Fleet(random);
  const reachedAt: number[] = [];
  const innocents = new Set<string>();
  let allowed: number | undefined;
  const isDue = (pauseMs: number | undefined) =>
    pauseMs !== undefined && fleet.now % pauseMs < STEP_MS;
  let left = 0;
  while (fleet.now < load.lastsMs) {
    fleet.step();
    if (fleet.now === load.restartAtMs) fleet.restart();
    if (isDue(badMachineMs)) fleet.crash(0);
    const inWave = waveMs !== undefined && fleet.now % waveMs < 400;
    if (inWave && fleet.now % 100 === 0) fleet.crash(random.int(TARGETS));
    const soundParts = ['first', 'rare 0', 'rare 1', 'rare 2'];
    for (const part of soundParts)
      if (fleet.guiltyOf(part)) innocents.add(part);
    if (random.float() < (load.soundPerSecond * STEP_MS) / 1000)
      fleet.start(['first'], false);
    if (isDue(rarePauseMs))
      for (const rare of soundParts.slice(1))
        fleet.start(['first', rare], false);
    if (fleet.now > WARM_UP_MS && isDue(badPauseMs)) left = sends;
    if (left === 0 || allowed !== undefined) continue;
    const crashes = fleet.guiltyOf('bad');
    if (crashes) allowed = trialsAllowed(crashes);
    else if (fleet.start(['first', 'bad'], true)) {
      reachedAt.push(fleet.now);
      left--;
    }
  }
  const fifthAt = reachedAt[CRASHES - 1] ?? Infinity;
  const later = reachedAt.filter(at => at > fifthAt + STABILITY_MS).length;
  const trials = reachedAt.length < CRASHES ? 0 : (allowed ?? Infinity);
  return {
    innocents: [...innocents],
    crashes: reachedAt.length,
    later,
    trials,
    allowed,
  };
}

// Guards against a part that is never held because its requests come at a slow
// pace: each crashes some targets, and is forgotten before the next one comes.
for (const badPauseMs of [12_000, 31_000, 45_000, 120_000, 600_000])
  for (const sends of [1, 3])
    for (const soundPerSecond of [0.2, 10, 60])
      test(`a bad part is found: one request each ${badPauseMs} ms, sent ${sends} times, beside ${soundPerSecond} a second`, t => {
        const lastsMs = WARM_UP_MS + 7 * badPauseMs;
        const load = {soundPerSecond, badPauseMs, sends, lastsMs};
        const seeds = SEEDS.slice(0, badPauseMs > 100_000 ? 3 : 10);
        for (const seed of seeds) {
          const {innocents, later, trials, crashes, allowed} = replay(
            seed,
            load,
          );
          t.deepEqual(innocents, []);
          t.not(allowed, undefined, `seed ${seed}: ${crashes} crashes`);
          t.true(
            later + trials <= MAX_LATER,
            `seed ${seed}: ${later}, ${trials}`,
          );
        }
      });

// Guards against the same when crashes for other reasons come between, so that
// most crashes of the service are not under the part.
test('a bad part is found beside many crashes with another cause', t => {
  const load = {
    soundPerSecond: 30,
    badPauseMs: 31_000,
    waveMs: 20_000,
    lastsMs: 230_000,
  };
  const found = SEEDS.map(seed => replay(seed, load));
  t.deepEqual(
    found.flatMap(({innocents}) => innocents),
    [],
  );
  const late = found.filter(({later, trials}) => later + trials > MAX_LATER);
  t.deepEqual(late, []);
});

// Guards against evidence that is lost with the memory of all hosts.
test('a bad part is found though all hosts restart between its requests', t => {
  const load = {
    soundPerSecond: 10,
    badPauseMs: 31_000,
    restartAtMs: 50_000,
    lastsMs: 230_000,
  };
  for (const seed of SEEDS) {
    const {innocents, later, trials} = replay(seed, load);
    t.deepEqual(innocents, []);
    t.true(later + trials <= MAX_LATER, `seed ${seed}: ${later}, ${trials}`);
  }
});

// Guards against sound requests that are refused because targets crash for other
// reasons, over minutes and with parts that seldom get through.
for (const [what, trouble] of [
  ['one machine crashes again and again', {badMachineMs: 4000}],
  ['a third of the targets crash each 20 s', {waveMs: 20_000}],
  ['both', {badMachineMs: 4000, waveMs: 20_000}],
] as const)
  for (const soundPerSecond of [0.2, 10, 60])
    test(`no sound part is held beside ${soundPerSecond} a second when ${what}`, t => {
      const load = {
        soundPerSecond,
        rarePauseMs: 15_000,
        lastsMs: 600_000,
        ...trouble,
      };
      const found = SEEDS.slice(0, 5).map(seed => replay(seed, load));
      t.deepEqual(
        found.flatMap(({innocents}) => innocents),
        [],
      );
    });

// Guards against sound parts that are held after an outage of the whole service.
test('crashes while a service is down do not show a part afterwards', t => {
  const suspicion = new PartSuspicion();
  for (let at = 0; at < 20_000; at += 50)
    suspicion.recordCompletedRun(SERVICE, ['first'], at);
  for (const [i, at] of [20_000, 26_000, 32_000, 38_000].entries())
    for (let j = 0; j < 10; j++) {
      const parts = j === 0 ? ['rare'] : ['first'];
      const crash = {target: `${i} ${j}`, atMs: at + j};
      suspicion.recordBrokenRun(SERVICE, parts, crash);
    }
  for (let at = 42_000; at < 120_000; at += 50)
    suspicion.recordCompletedRun(SERVICE, ['first'], at);
  t.is(suspicion.guiltyOf('rare', 120_000), undefined);
});

test('a part may crash a few targets in all, whenever it was found', t => {
  const at = (times: readonly number[]) =>
    times.map(atMs => ({target: `${atMs}`, atMs}));
  t.is(trialsAllowed(at([0, 1, 2])), 4);
  t.is(trialsAllowed(at([0, 1, 2, 3])), 3);
  t.is(trialsAllowed(at([0, 1, 2, 3, 4])), 3);
  t.is(trialsAllowed(at([0, 1, 2, 3, 4, 1000])), 3);
  t.is(trialsAllowed(at([0, 1, 2, 3, 4, 30_000])), 2);
  t.is(trialsAllowed(at([0, 1, 2, 3, 4, 9000, 9001, 9002, 9003])), 1);
});
