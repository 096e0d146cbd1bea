import {NO_EVENT_LOG, seededRandom} from '@oathead/core';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import type {Target} from '../../lib/connection/target.js';
import {ServiceHealth} from '../../lib/process/service_health.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {logUnlikeTargets} from '../../lib/process/speed_log.js';
import {
  TargetScore,
  type ChoicePurpose,
} from '../../lib/process/target_score.js';
import {TargetSpeeds} from '../../lib/process/target_speeds.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const ONLINE: ChoicePurpose = {lane: 'online'};
const LATENCY = {firstByteMs: 60, runMs: 600};
const DEMAND = {goalMs: 500, priority: 0, returning: false};
const [SLOW, USUAL, FAST, VERY_SLOW] = [
  'slow',
  'usual',
  'fast',
  'very slow',
].map(id => newTarget(id)) as [Target, Target, Target, Target];
const SLOWNESS = new Map([
  [SLOW, 1 / 0.6],
  [USUAL, 1],
  [newTarget('usual too'), 1],
  [FAST, 1 / 1.6],
  [VERY_SLOW, 5],
]);

function newFleet(isLearning: boolean) {
  const clock = new FakeClock();
  const directory = new TargetDirectory({clock, log: NO_EVENT_LOG});
  const speeds = new TargetSpeeds({clock, isLearning});
  const overload = new ServiceOverload({
    clock,
    random: seededRandom(1),
    directory,
    hosts: () => 1,
    speeds,
  });
  for (const target of SLOWNESS.keys()) directory.put(target);
  for (let i = 0; i < 60; i++) {
    clock.advance(250);
    for (const [target, slowness] of SLOWNESS)
      speeds.record(target, {
        kind: 'p',
        ms: 26 * slowness,
        inFlight: 1,
        isNewRun: true,
      });
    overload.recordRun('s', LATENCY);
  }
  const health = new ServiceHealth(clock);
  const random = seededRandom(3);
  const context = {dataCentre: 'a', health, overload, random};
  const score = new TargetScore(context, {
    remotePenalty: {online: 1.5, batch: 3},
  });
  const best = (purpose: ChoicePurpose, loads: ReadonlyMap<Target, number>) => {
    const scoreOf = score.scorer('s', purpose);
    const scores = [...loads].map(([target, online]) => {
      return {target, score: scoreOf(target, {online, batch: 0})};
    });
    return scores.sort((a, b) => a.score - b.score)[0]!.target.id;
  };
  return {best, score, overload, speeds, directory};
}

// Guards against any change where speeds aren't learned or don't differ: the
// score is the number of requests in flight, with the same random numbers.
test('targets that count as equal are compared by their requests', t => {
  const {score} = newFleet(false);
  const scoreOf = score.scorer('s', ONLINE);
  const random = seededRandom(3);
  const remote = newTarget('remote', {dataCentre: 'b'});
  for (const online of [0, 3, 9])
    for (const target of [SLOW, FAST, remote]) {
      const penalty = target === remote ? 1.5 : 0;
      const expected = (online + 2 + 1 + random.float() / 2) / 1 + penalty;
      t.is(scoreOf(target, {online, batch: 2}), expected);
    }
});

// Guards against slow targets that are full, and very slow ones that answer
// late, while others have free slots.
test('online requests go to faster targets first', t => {
  const {best} = newFleet(true);
  const even = new Map([SLOW, USUAL, FAST, VERY_SLOW].map(one => [one, 5]));
  t.is(best(ONLINE, even), 'fast');
  t.is(best(ONLINE, new Map([...even, [FAST, 8], [USUAL, 7]])), 'slow');
  const nearlyFull = [SLOW, USUAL, FAST].map(one => [one, 7] as const);
  t.not(best(ONLINE, new Map([...nearlyFull, [VERY_SLOW, 1]])), 'very slow');
});

// Guards against urgent items that are late because they run at a slow target,
// and against others that are no longer in time at a very slow one.
test('urgent items go to fast targets, and no item to a very slow one', t => {
  const {best} = newFleet(true);
  const loads = new Map([
    [SLOW, 1],
    [FAST, 2],
    [VERY_SLOW, 0],
  ]);
  t.is(best({lane: 'batch', pressure: 'pressed'}, loads), 'fast');
  t.is(best({lane: 'batch', pressure: 'relaxed'}, loads), 'slow');
});

// Guards against requests that wait in vain at a slow target, whose queue moves
// slowly, and are refused at a fast one that would serve them in time.
test('the length of a queue follows the speed of its target', t => {
  const {overload} = newFleet(true);
  const [slow, usual, fast] = [SLOW, USUAL, FAST].map(target =>
    overload.maxQueued(target, DEMAND),
  );
  t.true(slow! < usual!, `${slow} ${usual}`);
  t.true(usual! < fast!, `${usual} ${fast}`);
  t.is(overload.maxQueued(VERY_SLOW, DEMAND), 0);
});

test('the log names the targets that differ most', t => {
  const {speeds, directory} = newFleet(true);
  const lines: unknown[] = [];
  const log = {event: (...line: unknown[]) => lines.push(line)};
  logUnlikeTargets(log, speeds, directory);
  t.is(lines.length, 1);
  t.regex(JSON.stringify(lines), /"targets":3,"slowness":"very slow 5/);
  speeds.remove(VERY_SLOW.id);
  t.false(speeds.unlike('s').has(targetKey(VERY_SLOW.id)));
});
