import test from 'ava';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import {ItemPreemption} from '../../lib/process/item_preemption.js';

const TARGET = 't';

/** Running items, the most urgent one first, and which of them are ended. */
function newRun(isLast: (id: string) => boolean = () => false) {
  const ended: string[] = [];
  const candidates = ['soon', 'later', 'late'].map((id, i) => {
    const control = {end: () => void ended.push(id)};
    const urgency = id === 'late' ? 'late' : 'relaxed';
    return {
      work: {item: {id}, stage: {kind: 'running', targetId: TARGET, control}},
      estimate: {urgency, remainingMs: i, texts: 0, untilDueMs: 0},
    } as unknown as ItemCandidate;
  });
  const preemption = new ItemPreemption(
    {
      chooser: {itemsToPreempt: () => 1},
      directory: {get: () => ({id: TARGET}) as never},
      loads: {markNearlyDone: () => {}},
      self: 'host',
    },
    {running: () => candidates, isLast: ({work}) => isLast(work.item.id)},
  );
  return {preemption, ended};
}

test('the least urgent items are preempted first', t => {
  const {preemption, ended} = newRun();
  preemption.preempt(TARGET, 2);
  t.deepEqual(ended, ['late', 'later']);
  preemption.preempt('other', 2);
  t.is(ended.length, 2);
});

// Guards against a neglected item that gets a slot and is the first to lose it.
test('an item with the claim is preempted after all others', t => {
  const {preemption, ended} = newRun(id => id === 'late');
  preemption.preemptExcess();
  t.deepEqual(ended, ['later']);
  preemption.preempt(TARGET, 3);
  t.deepEqual(ended, ['later', 'later', 'soon', 'late']);
});
