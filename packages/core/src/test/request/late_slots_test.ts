import test from 'ava';
import {latestStart, maxQueueLength, orderLate} from '../../index.js';

const ROOM = {runMs: 600, slots: 8, hosts: 1};

// Guards against a request that starts so late that its caller has left before
// the end of the run, and against one that is held until there is no time left.
test('a late request starts in time for its run and waits half of its time', t => {
  t.is(latestStart(0, 1200, 600), 300);
  t.is(latestStart(0, 6000, 600), 3000);
  t.true(latestStart(0, 600, 600) < 0);
});

// Guards against callers that are held although others get all slots until
// their deadline, and against an order that serves the less urgent first.
test('late requests go by priority, then by deadline, and those beyond the slots are refused', t => {
  const soon = {name: 'soon', priority: 0, startBy: 200};
  const later = {name: 'later', priority: 0, startBy: 900};
  const lesser = {name: 'lesser', priority: 1, startBy: 250};
  const past = {name: 'past', priority: 0, startBy: -1};
  const namesOf = (list: ReadonlyArray<{name: string}>) =>
    list.map(({name}) => name);
  const {waiting, refused} = orderLate([lesser, later, past, soon], ROOM, 0);
  // A slot for late requests becomes free each 150 ms.
  t.deepEqual(namesOf(waiting), ['soon', 'later']);
  t.deepEqual(namesOf(refused), ['past', 'lesser']);
});

// Guards against waits for a service that has lost all its targets.
test('nothing waits for a service without slots', t => {
  const request = {priority: 0, startBy: 1000};
  const {waiting, refused} = orderLate([request], {...ROOM, slots: 0}, 0);
  t.deepEqual([waiting.length, refused.length], [0, 1]);
});

// Guards against late requests that queue before requests in time.
test('a late request leaves slots free instead of joining a queue', t => {
  const demand = {goalMs: 300, priority: 0, returning: true, late: true};
  t.is(maxQueueLength(8, demand, undefined), -2);
  t.is(maxQueueLength(8, demand, {firstByteMs: 10, runMs: 100}), -2);
});
