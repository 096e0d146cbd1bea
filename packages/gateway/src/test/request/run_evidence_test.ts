import test from 'ava';
import type {ExchangeOutcome} from '../../lib/request/exchange.js';
import {
  RunEvidence,
  type JudgedRequest,
} from '../../lib/request/run_evidence.js';
import {
  CRASHED,
  STEP_MS,
  STREAMED,
  SuspectFleet,
} from '../fakes/suspect_fleet.js';

const POISON: JudgedRequest = {
  fingerprint: 'poison',
  prompt: {service: 's', sharedParts: ['first']},
};
/** Longer than a crash follows the first event of the run that caused it. */
const LASTING_MS = 1500;
const TARGETS = ['t0', 't1', 't2'] as const;

async function newFleet(): Promise<SuspectFleet> {
  const fleet = new SuspectFleet();
  fleet.add();
  fleet.add();
  await fleet.run(STEP_MS);
  return fleet;
}

async function crashThree(fleet: SuspectFleet): Promise<void> {
  for (const target of TARGETS) fleet.hosts[0]!.crash(POISON, target);
  await fleet.run(STEP_MS);
}

function answered(status: number): ExchangeOutcome {
  const head = {status, headers: {}};
  return {kind: 'answered', head, body: Buffer.of()};
}

// Guards against a poison request that is let through on all hosts, because a long
// answer comes to its end that began before it crashed targets.
test('an answer that began before the last crash clears nothing', async t => {
  const fleet = await newFleet();
  const [first, second] = fleet.hosts;
  const early = second!.beginRun(POISON);
  early.watched({events: () => true}).events([], STREAMED.head);
  await fleet.run(STEP_MS);
  await crashThree(fleet);
  early.recordOutcome(STREAMED, {id: 'alive'});
  await fleet.run(STEP_MS);
  t.is(await first!.refusal(POISON), 'suspect');
  t.is(await second!.refusal(POISON), 'suspect');
  const late = second!.beginRun(POISON);
  late.recordOutcome(STREAMED, {id: 'alive'});
  await fleet.run(STEP_MS);
  t.is(await first!.refusal(POISON), 'none');
});

// Guards against a harmless request of many callers that is held for a minute
// because three targets crashed that ran its copies: others are answered.
test('an answer that begins after the last crash clears its request', async t => {
  const fleet = await newFleet();
  const [first, second] = fleet.hosts;
  const copy = second!.beginRun(POISON);
  await crashThree(fleet);
  t.is(await first!.refusal(POISON), 'suspect');
  copy.watched({events: () => true}).events([], STREAMED.head);
  copy.recordOutcome(STREAMED, {id: 'alive'});
  await fleet.run(STEP_MS);
  t.is(await first!.refusal(POISON), 'none');
});

// Guards against a poison request that is let through because a target that has
// not begun to run it answered with a failure.
for (const status of [422, 500, 504])
  test(`an answer with status ${status} clears nothing`, async t => {
    const fleet = await newFleet();
    await crashThree(fleet);
    fleet.hosts[1]!.beginRun(POISON).recordOutcome(answered(status), {
      id: 'alive',
    });
    await fleet.run(STEP_MS);
    t.deepEqual(await fleet.refusals(POISON), ['suspect', 'suspect']);
  });

// Guards against a poison request that is let through because the host that has
// an answer does not know of a crash that another one has noticed since.
test('a crash that another host has written outlasts an answer', async t => {
  const fleet = await newFleet();
  const [first, second] = fleet.hosts;
  first!.crash(POISON, TARGETS[0]);
  await fleet.run(STEP_MS);
  const answeredRun = second!.beginRun(POISON);
  answeredRun.watched({events: () => true}).events([], STREAMED.head);
  fleet.clock.advance(STEP_MS);
  for (const target of TARGETS.slice(1)) first!.crash(POISON, target);
  answeredRun.recordOutcome(STREAMED, {id: 'alive'});
  await fleet.run(10 * STEP_MS);
  t.deepEqual(await fleet.refusals(POISON), ['suspect', 'suspect']);
});

test('a run whose target crashed counts against its request', async t => {
  const fleet = await newFleet();
  for (const target of TARGETS)
    fleet.hosts[0]!.beginRun(POISON).recordOutcome(CRASHED, {id: target});
  t.is(await fleet.hosts[0]!.refusal(POISON), 'suspect');
});

/** A run of the request that has been answered with events for some time. */
async function answeringRun(
  fleet: SuspectFleet,
  forMs: number,
): Promise<RunEvidence> {
  const run = fleet.hosts[0]!.beginRun(POISON);
  const sink = run.watched({events: () => true});
  sink.events([], STREAMED.head);
  await fleet.run(forMs);
  sink.events([], STREAMED.head);
  return run;
}

// Guards against a poison request that is never blocked, because each target sends
// its first event before it crashes.
test('a crash right after the first event counts against the request', async t => {
  const fleet = await newFleet();
  for (const target of TARGETS) {
    const run = await answeringRun(fleet, STEP_MS);
    run.recordOutcome(CRASHED, {id: target});
  }
  t.is(await fleet.hosts[0]!.refusal(POISON), 'suspect');
});

// Guards against long sound streams that are held because they ran beside poison
// requests.
test('a crash long after the first event counts against no request', async t => {
  const fleet = await newFleet();
  for (const target of TARGETS) {
    const run = await answeringRun(fleet, LASTING_MS);
    run.recordOutcome(CRASHED, {id: target});
  }
  t.is(await fleet.hosts[0]!.refusal(POISON), 'none');
});

// Guards against a harmless item that stays blocked because requests take its slot
// each time before it has come to its end.
test('a run that lasts clears its request, whoever ends it', async t => {
  const fleet = await newFleet();
  await crashThree(fleet);
  const run = await answeringRun(fleet, LASTING_MS);
  run.recordOutcome({kind: 'ended', by: 'yield'}, {id: 'alive'});
  t.is(await fleet.hosts[0]!.refusal(POISON), 'none');
});

// Guards against sound parts of prompts that are blocked after a burst of crashes:
// runs with them had been answered for seconds when their targets crashed.
test('a crash long after the first event counts against no part', async t => {
  const fleet = await newFleet();
  const recorded: string[] = [];
  const [host] = fleet.hosts;
  const run = new RunEvidence(
    {
      crashSuspects: host!.crashSuspects,
      promptSuspects: {
        recordBrokenRun: (prompt, target) => void recorded.push(target),
        recordCompletedRun: () => void recorded.push('got through'),
      },
    },
    POISON,
  );
  const sink = run.watched({events: () => true});
  sink.events([], STREAMED.head);
  await fleet.run(LASTING_MS);
  sink.events([], STREAMED.head);
  t.deepEqual(recorded, ['got through']);
  run.recordOutcome(CRASHED, {id: 't0'});
  t.deepEqual(recorded, ['got through']);
});
