import {NO_EVENT_LOG, seededRandom} from '@oathead/core';
import test from 'ava';
import {targetKey} from '../../lib/connection/load_message.js';
import type {Target} from '../../lib/connection/target.js';
import {LoadTable} from '../../lib/process/load_table.js';
import {ServiceOverload} from '../../lib/process/service_overload.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import type {EventSink} from '../../lib/request/exchange.js';
import {RunMeasurement} from '../../lib/request/run_measurement.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const TARGETS = ['a', 'b', 'c', 'd'].map(id => newTarget(id));
const [SLOW] = TARGETS as [Target];
const HEAD = {status: 200, headers: {}};
const EVENT = {id: undefined, bytes: Buffer.alloc(0)};
const PACE_MS = 30;
const RUNS = 16;

function newContext() {
  const clock = new FakeClock();
  const loads = new LoadTable(() => clock.now());
  const directory = new TargetDirectory({clock, log: NO_EVENT_LOG});
  const random = seededRandom(1);
  const hosts = () => 1;
  const overload = new ServiceOverload({clock, random, directory, hosts});
  return {clock, loads, overload};
}

type Context = ReturnType<typeof newContext>;

function stream({clock, ...context}: Context, target: Target, paceMs: number) {
  const run = new RunMeasurement({...context, clock}, target, 'online');
  const received: number[] = [];
  const sink: EventSink = {
    events: events => received.push(events.length) > 0,
  };
  const measured = run.measured(sink);
  for (let i = 0; i < 22; i++) {
    clock.advance(paceMs);
    measured.events([EVENT], HEAD);
  }
  run.complete({kind: 'streamed', head: HEAD}, paceMs);
  return received.length;
}

// Guards against a mean latency that follows whichever target had the last
// runs, and against events that are lost on their way through the measurement.
test('streams tell the speed of their target, and the latency without it', t => {
  const context = newContext();
  for (let i = 0; i < RUNS; i++)
    for (const target of TARGETS)
      t.is(
        stream(context, target, target === SLOW ? 4 * PACE_MS : PACE_MS),
        22,
      );
  const {speeds} = context.overload;
  const {regular} = speeds.slownessOf(SLOW);
  t.true(regular > 3, `${regular}`);
  for (const target of TARGETS.slice(1)) t.is(speeds.slownessAt(target, 8), 1);
  const run = new RunMeasurement(context, SLOW, 'online');
  t.true(run.relativeToTarget(120) < 40);
});

// Guards against a full target that counts as slow, and against one that fails
// its requests at once and counts as fast.
test('runs that waited or failed tell nothing of the speed', t => {
  const context = newContext();
  const answer = (target: Target, ms: number, status: number) => {
    const run = new RunMeasurement(context, target, 'online');
    context.clock.advance(ms);
    const head = {...HEAD, status};
    run.complete({kind: 'answered', head, body: EVENT.bytes}, ms);
  };
  for (let i = 0; i < RUNS; i++)
    for (const target of TARGETS) answer(target, 100, 200);
  const busy = Array.from({length: SLOW.slots}, () =>
    context.loads.begin(targetKey(SLOW.id), 'online'),
  );
  for (let i = 0; i < RUNS; i++) answer(SLOW, 2000, 200);
  for (const one of busy) one[Symbol.dispose]();
  for (let i = 0; i < RUNS; i++) answer(SLOW, 2, 500);
  context.clock.advance(1000);
  t.is(context.overload.speeds.unlike('s').size, 0);
  for (let i = 0; i < RUNS; i++) answer(SLOW, 500, 200);
  context.clock.advance(1000);
  t.true(context.overload.speeds.slownessOf(SLOW).regular > 2);
});
