import test from 'ava';
import {isUnderOneRequest} from '../../lib/process/crash_attribution.js';

const CRASHES = ['t1', 't2', 't3', 't4'];

// Guards against sound requests that are refused because one request, with which
// they share a part, is sent again and again and ends each target.
test('crashes under one request, with a harmless one beside it', t => {
  t.true(isUnderOneRequest(CRASHES, [['t2', 't3'], CRASHES]));
});

// The same, and one target crashes for another reason while requests with the
// part run there.
test('one crash of another cause beside those of a request', t => {
  t.true(isUnderOneRequest([...CRASHES, 't5'], [['t2', 't5'], CRASHES]));
});

// Guards against a part that is not blocked because callers send each of its
// requests several times.
test('crashes under several requests, each sent several times', t => {
  t.false(
    isUnderOneRequest(
      ['t1', 't2', 't3', 't4', 't5'],
      [
        ['t1', 't2', 't3'],
        ['t4', 't5'],
      ],
    ),
  );
  t.false(isUnderOneRequest(CRASHES, [['t1'], ['t2'], ['t3'], ['t4']]));
});

test('crashes under requests of which nothing is known', t => {
  t.false(isUnderOneRequest(CRASHES, []));
});
