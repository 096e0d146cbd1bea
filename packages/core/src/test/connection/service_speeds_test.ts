import test from 'ava';
import {ServiceSpeeds} from '../../lib/connection/service_speeds.js';
import {loadBand, type LoadBand} from '../../lib/connection/load_baselines.js';
import {seededRandom} from '../../lib/process/random.js';

const KIND = 'online pace';
const PACE_MS = 26;
const STEP_MS = 250;
/** A target that learns from other hosts only while this is false. */
const ALONE: LoadBand = 0;

/** Runs at targets of given slowness, one at each target in each step. */
class Fleet {
  readonly speeds = new ServiceSpeeds();
  readonly random = seededRandom(7);
  now = 0;

  constructor(
    readonly slowness: Map<string, number>,
    /** Largest deviation of a run, relative to its mean. */
    readonly noise: number,
  ) {}

  run(steps: number, band = ALONE, bandFactor = 1): void {
    for (let step = 0; step < steps; step++) {
      this.now += STEP_MS;
      for (const [target, slowness] of this.slowness) {
        const noise = 1 + this.noise * (2 * this.random.float() - 1);
        const ms = PACE_MS * slowness * noise * bandFactor;
        this.speeds.record(
          target,
          {kind: KIND, ms, band, isNewRun: true},
          this.now,
        );
      }
    }
  }

  regular(target: string): number {
    return this.speeds.slownessOf(target, this.now).regular;
  }
}

function alike(targets: number): Map<string, number> {
  return new Map([...Array(targets).keys()].map(i => [`t${i}`, 1]));
}

// Guards against a change in how fleets of equal targets are served: noise must
// never make one of them count as slower.
test('targets that are alike are exactly equal', t => {
  const fleet = new Fleet(alike(40), 0.25);
  for (let i = 0; i < 400; i++) {
    fleet.run(1);
    t.is(fleet.speeds.unlikeAt(fleet.now).size, 0);
  }
});

// Guards against fast targets that are no more than half used while slow ones
// are full.
test('speeds of 0.6, 1.0 and 1.6 are told apart', t => {
  const speeds = [0.6, 1, 1.6];
  const slowness = new Map(
    [...alike(33).keys()].map((name, i) => [name, 1 / speeds[i % 3]!]),
  );
  const fleet = new Fleet(slowness, 0.25);
  fleet.run(40);
  for (const [target, expected] of slowness)
    t.true(Math.abs(fleet.regular(target) / expected - 1) < 0.2, target);
  t.is(fleet.regular('t1'), 1);
});

// Guards against requests that go to a target for as long as it is slow, and
// against one that gets few requests for long after it has recovered.
test('a target that is slow for six seconds is known soon, and cleared soon', t => {
  const fleet = new Fleet(alike(33), 0.25);
  fleet.run(40);
  fleet.slowness.set('t0', 5);
  fleet.run(6);
  t.true(fleet.regular('t0') > 2, `${fleet.regular('t0')}`);
  fleet.run(18);
  t.true(fleet.regular('t0') > 4);
  fleet.slowness.set('t0', 1);
  fleet.run(10);
  t.is(fleet.regular('t0'), 1);
});

// Guards against a target that stays slow in the estimate because it gets no
// runs that would show otherwise.
test('an estimate fades without runs', t => {
  const fleet = new Fleet(alike(9), 0.1);
  fleet.slowness.set('t0', 5);
  fleet.run(40);
  t.true(fleet.regular('t0') > 4);
  fleet.slowness.delete('t0');
  fleet.run(120);
  t.is(fleet.regular('t0'), 1);
});

// Guards against a target that loses its requests for one odd run.
test('one odd run changes nothing', t => {
  const fleet = new Fleet(alike(9), 0.1);
  fleet.run(40);
  const odd = {kind: KIND, ms: PACE_MS * 50, band: ALONE, isNewRun: true};
  fleet.speeds.record('t0', odd, fleet.now);
  fleet.run(1);
  t.is(fleet.speeds.unlikeAt(fleet.now).size, 0);
  for (const ms of [0, -1, NaN, Infinity])
    fleet.speeds.record(
      't0',
      {kind: KIND, ms, band: ALONE, isNewRun: true},
      fleet.now,
    );
  fleet.run(1);
  t.is(fleet.speeds.unlikeAt(fleet.now).size, 0);
});

// Guards against requests in a burst that make all targets look slow, as all
// produce tokens more slowly then, and against one that is filled although it
// alone slows much more.
test('only what slows more than others when nearly full counts as slow', t => {
  const fleet = new Fleet(alike(9), 0.1);
  const full = loadBand(7, 8);
  fleet.run(40);
  fleet.run(40, full, 1.6);
  t.is(fleet.speeds.unlikeAt(fleet.now).size, 0);
  for (let i = 0; i < 20; i++) {
    fleet.run(1, full, 1.6);
    const ms = PACE_MS * 4;
    fleet.speeds.record(
      't9',
      {kind: KIND, ms: PACE_MS, band: ALONE, isNewRun: true},
      fleet.now,
    );
    fleet.speeds.record(
      't9',
      {kind: KIND, ms, band: full, isNewRun: true},
      fleet.now,
    );
  }
  const {regular, nearlyFull} = fleet.speeds.slownessOf('t9', fleet.now + 250);
  t.is(regular, 1);
  t.true(nearlyFull > 1.8, `${nearlyFull}`);
});

// Guards against a host with a slow link to a target that makes all others
// think that the target is slow.
test('one other host alone makes no target look slow', t => {
  const fleet = new Fleet(alike(9), 0.1);
  fleet.run(40);
  const evidence = {logRatio: 2, count: 4, nearlyFull: false};
  const tell = (target: string, host: string) =>
    fleet.speeds.addReported(target, evidence, host, fleet.now);
  for (let i = 0; i < 20; i++) {
    tell('unseen', 'cut off');
    fleet.now += STEP_MS;
  }
  t.is(fleet.regular('unseen'), 1);
  for (let i = 0; i < 20; i++) {
    for (const host of ['h1', 'h2', 'h3']) tell('told', host);
    fleet.now += STEP_MS;
  }
  t.true(fleet.regular('told') > 3);
});

// Guards against a host that stands still by turns, sees all streams in lumps
// and makes all others think that its targets are slow.
test('one other host does not outweigh own runs that are fewer', t => {
  const fleet = new Fleet(alike(9), 0.1);
  fleet.run(40);
  const evidence = {logRatio: 2, count: 4, nearlyFull: false};
  for (let i = 0; i < 60; i++) {
    fleet.now += STEP_MS;
    for (const target of ['t0', 't1', 't2'])
      fleet.speeds.addReported(target, evidence, 'slow host', fleet.now);
    if (i % 8 === 0) fleet.run(1);
    t.is(fleet.speeds.unlikeAt(fleet.now).size, 0);
  }
});

// Guards against a restarted server that gets few requests because the one
// before was slow.
test('a target that is gone is forgotten', t => {
  const fleet = new Fleet(alike(9), 0.1);
  fleet.slowness.set('t0', 5);
  fleet.run(20);
  t.true(fleet.regular('t0') > 2);
  fleet.speeds.remove('t0');
  t.is(fleet.regular('t0'), 1);
});
