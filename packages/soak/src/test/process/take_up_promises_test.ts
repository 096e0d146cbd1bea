import test from 'ava';
import type {Evidence} from '../../lib/process/evidence.js';
import {PROMISES} from '../../lib/process/promises.js';
import {takeUpFigures} from '../../lib/process/take_up_promises.js';

const PROMISE = 'streams that are taken up go on';
const KILLED_AT = 1000;
const BACK_AT = 2000;
const END = 9000;
const BOUT = {
  killedAt: KILLED_AT,
  to: END,
  kind: 'notes',
  key: 'k',
  serving: new Set(['v2']),
};

/** A request on the route that may be resumed, answered whole. */
const NOTE = {
  kind: 'notes',
  key: 'k',
  pid: 7,
  status: 200,
  failure: undefined,
  text: 'id: 1\n\n',
  softwareVersions: ['v2'],
  sentAt: BACK_AT,
  endedAt: BACK_AT + 500,
};
const FIRST = {...NOTE, id: 'r1', sentAt: 500, status: undefined};
const REFUSED = {status: 503, text: '', softwareVersions: []};

function takeUps(count: number, seen: object): readonly object[] {
  return [...Array(count).keys()].map(i => {
    return {...NOTE, path: `/notes/${i}`, takesUp: FIRST, ...seen};
  });
}

function newOnes(count: number, seen: object = {}): readonly object[] {
  return [...Array(count).keys()].map(() => ({...NOTE, ...seen}));
}

function evidence(...online: ReadonlyArray<readonly object[]>): Evidence {
  const fleet = {takeUpBouts: [BOUT]};
  return {fleet, online: online.flat()} as unknown as Evidence;
}

/** What a bout saw, and whether its streams went on often enough. */
const BOUTS = [
  ['all are refused', false, [takeUps(12, REFUSED), newOnes(2)]],
  [
    'under half of the share of new ones go on',
    false,
    [takeUps(5, {}), takeUps(7, REFUSED), newOnes(9), newOnes(1, REFUSED)],
  ],
  [
    'half of the share of new ones go on',
    true,
    [takeUps(5, {}), takeUps(7, REFUSED), newOnes(8), newOnes(2, REFUSED)],
  ],
  ['there are fewer than 12', true, [takeUps(11, REFUSED), newOnes(2)]],
  ['no new one begins', true, [takeUps(12, REFUSED), newOnes(2, REFUSED)]],
  [
    'no two servers of their version serve',
    true,
    [
      takeUps(12, {
        ...REFUSED,
        takesUp: {...FIRST, softwareVersions: ['v1']},
      }),
      newOnes(2),
    ],
  ],
  [
    'no program was reached',
    true,
    [takeUps(12, {...REFUSED, failure: 'unconnected'}), newOnes(2)],
  ],
  [
    'the first program that is reached refuses each',
    false,
    [
      takeUps(12, REFUSED),
      takeUps(12, {takesUp: {...NOTE, ...REFUSED, takesUp: FIRST}}),
      newOnes(2),
    ],
  ],
] as const;

// Callers take streams up in vain after all hosts were lost, though their targets
// serve and new streams begin.
for (const [how, isKept, online] of BOUTS) {
  test(`the soak sees whether streams that are taken up go on: ${how}`, t => {
    t.is(PROMISES[PROMISE]!(evidence(...online)).length, isKept ? 0 : 1);
  });
}

test('new streams count while streams are taken up, at programs that are ready', t => {
  const {sentAt} = NOTE;
  const online = evidence(
    takeUps(1, {}),
    newOnes(1, {sentAt: sentAt - 1}),
    newOnes(1, {sentAt: NOTE.endedAt + 1}),
    newOnes(1, {pid: 8}),
    newOnes(1, {key: 'withdrawn'}),
    newOnes(1, {kind: 'flags'}),
    newOnes(3, {sentAt: sentAt + 1}),
  );
  t.is(takeUpFigures(online)[0]!.fresh, 3);
});
