import test from 'ava';
import {
  isFinalItemState,
  nextItemState,
} from '../../lib/request/item_machine.js';
import type {ItemEvent, ItemState} from '../../lib/request/item_machine.js';

const STATES: readonly ItemState[] = [
  'waiting',
  'leased',
  'started',
  'suspect',
  'suspectLeased',
  'suspectStarted',
  'done',
  'failed',
  'cancelled',
  'unknown',
];

function lose(idempotent: boolean, suspect: boolean, last: boolean): ItemEvent {
  return {type: 'lose', idempotent, suspect, last};
}

const EVENTS: readonly ItemEvent[] = [
  {type: 'lease'},
  {type: 'release'},
  {type: 'start'},
  {type: 'complete'},
  {type: 'fail'},
  {type: 'return'},
  {type: 'orphan', idempotent: true},
  {type: 'orphan', idempotent: false},
  {type: 'cancel', idempotent: true},
  {type: 'cancel', idempotent: false},
  ...[true, false].flatMap(idempotent =>
    [true, false].flatMap(suspect =>
      [true, false].map(last => lose(idempotent, suspect, last)),
    ),
  ),
];

function run(events: readonly ItemEvent[]): ItemState {
  return events.reduce<ItemState>(nextItemState, 'waiting');
}

const SENT: readonly ItemEvent[] = [{type: 'lease'}, {type: 'start'}];

test('an item is selected, sent and answered', t => {
  t.is(run([...SENT, {type: 'complete'}]), 'done');
  t.is(run([...SENT, {type: 'fail'}]), 'failed');
  t.is(run([...SENT, {type: 'return'}]), 'waiting');
  t.is(run([{type: 'lease'}, {type: 'release'}]), 'waiting');
});

test('no event leaves a final state', t => {
  for (const state of STATES.filter(isFinalItemState)) {
    for (const event of EVENTS) t.is(nextItemState(state, event), state);
  }
});

test('an item that is not idempotent is never sent again after a loss', t => {
  for (const suspect of [true, false]) {
    for (const last of [true, false]) {
      t.is(run([...SENT, lose(false, suspect, last)]), 'unknown');
    }
  }
  t.is(run([...SENT, {type: 'orphan', idempotent: false}]), 'unknown');
  t.is(run([...SENT, {type: 'cancel', idempotent: false}]), 'started');
});

test('an idempotent item is sent again until its last attempt', t => {
  t.is(run([...SENT, lose(true, false, false)]), 'waiting');
  t.is(run([...SENT, lose(true, false, true)]), 'failed');
  t.is(run([...SENT, {type: 'orphan', idempotent: true}]), 'waiting');
});

test('a suspect runs alone, is done if answered, fails if a target dies again', t => {
  const suspect = [...SENT, lose(true, true, false)];
  t.is(run(suspect), 'suspect');
  t.is(run([...suspect, ...SENT]), 'suspectStarted');
  t.is(run([...suspect, ...SENT, {type: 'complete'}]), 'done');
  t.is(run([...suspect, ...SENT, {type: 'return'}]), 'suspect');
  t.is(run([...suspect, ...SENT, lose(true, false, false)]), 'suspect');
  t.is(run([...suspect, ...SENT, lose(true, true, false)]), 'failed');
});

test('an item that was not sent can be cancelled', t => {
  const unsent = ['waiting', 'leased', 'suspect', 'suspectLeased'] as const;
  for (const state of unsent) {
    const event = {type: 'cancel', idempotent: false} as const;
    t.is(nextItemState(state, event), 'cancelled');
  }
});
