import test from 'ava';
import {ReturnSchedule, seededRandom} from '../../index.js';

const ROOM = {runMs: 500, slots: 10, share: 1};
const REQUEST = {priority: 0, isOverShare: false, maxDelayMs: 2000};
/** Returns that ROOM permits in a second: half of the slots that become free. */
const PER_SECOND = 10;

function newSchedule(): ReturnSchedule {
  return new ReturnSchedule({...seededRandom(1), float: () => 0.5});
}

// Guards against callers that return in a crowd, at a time without room.
test('returns are promised in the order of refusals, no more than there is room', t => {
  const schedule = newSchedule();
  const times = [...Array(30).keys()].map(() =>
    schedule.schedule(0, REQUEST, ROOM),
  );
  const promised = times.filter(({isPromised}) => isPromised);
  t.true(promised.length <= 1.6 * PER_SECOND, String(promised.length));
  t.true(promised.length >= 1.4 * PER_SECOND, String(promised.length));
  t.true(promised.every(({delayMs}) => delayMs >= ROOM.runMs));
  const inOrder = promised.every(
    ({delayMs}, i) => i === 0 || delayMs > promised[i - 1]!.delayMs - 100,
  );
  t.true(inOrder);
  t.deepEqual(times.at(-1), {delayMs: 2000, isPromised: false});
});

// Guards against urgent callers that find all room promised to others, and
// against accounts that flood and are served before those within their share.
test('less urgent requests and those over their share leave room for others', t => {
  const room = {...ROOM, slots: 100};
  for (const lesser of [
    {...REQUEST, priority: 2},
    {...REQUEST, isOverShare: true},
  ]) {
    const schedule = newSchedule();
    const last = () => schedule.schedule(0, lesser, room);
    while (last().isPromised);
    const urgent = schedule.schedule(0, REQUEST, room);
    t.true(urgent.isPromised);
    t.true(urgent.delayMs < 700, String(urgent.delayMs));
  }
});

// Guards against slots that stay empty for callers that never return.
test('a promise that is not taken lapses', t => {
  const schedule = newSchedule();
  const {delayMs} = schedule.schedule(0, REQUEST, ROOM);
  t.is(schedule.due(delayMs - 100), 0);
  t.is(schedule.due(delayMs + 100), 1);
  t.is(schedule.due(delayMs + 250), 0);
  t.is(schedule.takeLapsed(), 1);
  t.is(schedule.takeLapsed(), 0);
  t.false(schedule.take(delayMs + 250));
});

// Guards against room that is kept for callers that already have a slot, and
// against one caller that uses up the promises of others.
test('a promise is taken once, when it is due', t => {
  const schedule = newSchedule();
  const {delayMs} = schedule.schedule(0, REQUEST, ROOM);
  t.false(schedule.take(delayMs - 100));
  t.true(schedule.take(delayMs + 1));
  t.false(schedule.take(delayMs + 1));
  t.is(schedule.takeLapsed(), 0);
});

// Guards against promises without room after the loss of all targets, and
// against values of other hosts that make no sense.
test('nothing is promised without slots or without time', t => {
  const none = newSchedule().schedule(0, REQUEST, {...ROOM, slots: 0});
  t.deepEqual(none, {delayMs: 2000, isPromised: false});
  const request = {...REQUEST, maxDelayMs: 0};
  t.is(newSchedule().schedule(0, request, ROOM).delayMs, 0);
});
