import test from 'ava';
import type {Evidence} from '../../lib/process/evidence.js';
import {PROMISES} from '../../lib/process/promises.js';

const PROMISE = 'planned stops in series lose no request';
const STOPPED_AT = 100_000;
const PID = 7;
const ID = 'r1';

interface Seen {
  /** Of a caller's request and of its run, since the signal, in ms. */
  readonly sentMs: number;
  readonly endedMs: number;
  readonly runEndedMs?: number;
  readonly kind?: string;
  readonly status?: number;
  readonly failure?: string;
  readonly pid?: number;
}

function evidence({
  sentMs,
  endedMs,
  runEndedMs,
  kind = 'letters',
  status,
  failure = 'broken',
  pid = PID,
}: Seen): Evidence {
  const endedAt = STOPPED_AT + (runEndedMs ?? 0);
  const ran = runEndedMs === undefined ? [] : [{id: ID, endedAt}];
  return {
    fleet: {
      incarnations: [{id: 'llm-1', server: {ran}}],
      longStops: [{pid: PID, stoppedAt: STOPPED_AT}],
    },
    online: [
      {
        id: ID,
        kind,
        pid,
        status,
        failure: status === undefined ? failure : undefined,
        text: '',
        sentAt: STOPPED_AT + sentMs,
        endedAt: STOPPED_AT + endedMs,
      },
    ],
  } as unknown as Evidence;
}

/** What callers saw, and whether their request was lost. */
const CASES: ReadonlyArray<readonly [string, boolean, Seen]> = [
  [
    'it came late and ran to the end of the stop',
    true,
    {sentMs: 3300, endedMs: 7640, runEndedMs: 7640},
  ],
  [
    'it came before the signal and was cut early',
    true,
    {sentMs: -1000, endedMs: 3500, runEndedMs: 3500},
  ],
  [
    'it came just after 3 s',
    true,
    {sentMs: 3001, endedMs: 7640, runEndedMs: 7640},
  ],
  [
    'it came within 3 s and ran in the last sixth',
    false,
    {sentMs: 3000, endedMs: 7640, runEndedMs: 6667},
  ],
  [
    'it came within 3 s and ran until just before the last sixth',
    true,
    {sentMs: 2900, endedMs: 7640, runEndedMs: 6660},
  ],
  [
    'its time by the route was over',
    false,
    {sentMs: 1000, endedMs: 6000, runEndedMs: 6000},
  ],
  [
    'its time by the route was not quite over',
    true,
    {sentMs: 1000, endedMs: 5999, runEndedMs: 5999},
  ],
  [
    'the time of a plain request was over',
    false,
    {sentMs: 3500, endedMs: 6000, runEndedMs: 6000, kind: 'decisions'},
  ],
  ['it was held and never ran', true, {sentMs: 4000, endedMs: 6100}],
  ['its connection closed as it came', false, {sentMs: 4000, endedMs: 4200}],
  [
    'it was never sent',
    false,
    {sentMs: 4000, endedMs: 7000, failure: 'unconnected'},
  ],
  [
    'it was answered',
    false,
    {sentMs: 4000, endedMs: 7000, runEndedMs: 7000, status: 502},
  ],
  [
    'it ended before the signal',
    false,
    {sentMs: -900, endedMs: -1, runEndedMs: -1},
  ],
  [
    'another process was asked',
    false,
    {sentMs: 4000, endedMs: 7000, runEndedMs: 7000, pid: 8},
  ],
];

// A loss that the users count goes unseen, or one that they excuse is reported.
for (const [what, isLost, seen] of CASES) {
  test(`${isLost ? 'lost' : 'not lost'}: ${what}`, t => {
    t.is(PROMISES[PROMISE]!(evidence(seen)).length, isLost ? 1 : 0);
  });
}
