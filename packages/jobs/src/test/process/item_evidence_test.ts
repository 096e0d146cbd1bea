import type {ExchangeOutcome, ResponseHead} from '@oathead/gateway';
import test from 'ava';
import {ItemEvidence} from '../../lib/process/item_evidence.js';
import {VirtualClock} from '../fakes/virtual_clock.js';

const HEAD: ResponseHead = {status: 200, headers: {}};
const STREAMED: ExchangeOutcome = {kind: 'streamed', head: HEAD};
const YIELDED: ExchangeOutcome = {kind: 'ended', by: 'yield'};
const BROKEN: ExchangeOutcome = {
  kind: 'broken',
  reason: 'reset',
  sentInvalidData: false,
};
const LASTING_MS = 1500;

/** A run of an item, and how often its parts were cleared. */
function newRun() {
  const clock = new VirtualClock();
  const cleared: unknown[] = [];
  const promptSuspects = {
    recordCompletedRun: (prompt: unknown) => void cleared.push(prompt),
  };
  const prompt = {service: 's', sharedParts: ['shared']};
  const run = new ItemEvidence({clock, promptSuspects}, prompt);
  const sink = run.watched({events: () => true});
  const receive = () => void sink.events([], HEAD);
  return {clock, run, receive, cleared};
}

// Guards against parts that stay blocked although items with them are answered:
// requests take the slots of the items before they have come to their end.
test('an item that lasts clears its parts, whoever ends it', async t => {
  const {clock, run, receive, cleared} = newRun();
  receive();
  await clock.advance(LASTING_MS);
  receive();
  t.is(cleared.length, 1);
  t.false(run.recordOutcome(YIELDED));
  t.is(cleared.length, 1);
});

test('an item that is whole clears its parts once', t => {
  const {run, receive, cleared} = newRun();
  receive();
  t.false(run.recordOutcome(STREAMED));
  t.is(cleared.length, 1);
});

test('an item whose target crashed as it began speaks against none of its parts', t => {
  const {run, receive, cleared} = newRun();
  receive();
  t.true(run.recordOutcome(BROKEN));
  t.deepEqual(cleared, []);
});

// Guards against items that wait longer with each crash, though they had run for
// seconds when their targets crashed.
test('a crash long after the first event has nothing to do with the item', async t => {
  const {clock, run, receive} = newRun();
  receive();
  await clock.advance(LASTING_MS);
  receive();
  t.false(run.recordOutcome(BROKEN));
});
