import {formatEvent} from '@oathead/platform/stand_ins';
import test from 'ava';
import type {Evidence} from '../../lib/process/evidence.js';
import {PROMISES} from '../../lib/process/promises.js';
import {EVENTS, wordOf} from '../../lib/request/expected_text.js';

const PATH = '/notes/r1';

function eventsFrom(from: number, to: number): string {
  const numbers = [...Array(to - from + 1).keys()].map(i => from + i);
  return numbers.map(n => formatEvent(n, wordOf(PATH, n))).join('');
}

/** A stream that broke off after events 1 to 3, then after 4 and 5. */
const NOTE = {kind: 'notes', path: PATH, status: undefined};
const FIRST = {...NOTE, id: 'r1', text: eventsFrom(1, 3)};
const REFUSED = {...NOTE, id: 'r2', status: 503, text: '', takesUp: FIRST};
const SECOND = {...NOTE, id: 'r3', text: eventsFrom(4, 5), takesUp: REFUSED};

/** The events of the next try, and whether they fit. */
const NEXT = [
  [6, EVENTS, true],
  [7, EVENTS, false],
  [5, EVENTS, false],
  [3, EVENTS, false],
  [6, EVENTS - 1, false],
] as const;

// A stream that is taken up lacks an event, has one twice, or looks whole before
// its end.
for (const [from, to, fits] of NEXT) {
  test(`the soak sees whether events ${from} to ${to} come after five of two tries`, t => {
    const answer = {status: 200, answeredId: 'r4', seal: 'seal-r4'};
    const text = eventsFrom(from, to);
    const last = {...NOTE, ...answer, id: 'r4', text, takesUp: SECOND};
    const evidence = {online: [last]} as unknown as Evidence;
    const promise = 'each caller gets the whole answer to its own request';
    t.is(PROMISES[promise]!(evidence).length, fits ? 0 : 1);
  });
}

test('the soak sees an event that comes twice before a stream breaks off again', t => {
  const promise = 'what arrives of a broken answer is its beginning';
  const flawsOf = (text: string) => {
    const online = [{...NOTE, id: 'r4', text, takesUp: SECOND}];
    return PROMISES[promise]!({online} as unknown as Evidence).length;
  };
  t.is(flawsOf(eventsFrom(6, 7)), 0);
  t.is(flawsOf(eventsFrom(5, 7)), 1);
});
