import test from 'ava';
import {storyOf, storyText} from '../../lib/process/log_story.js';

function line(ms: number, host: string, event: string, fields: object): string {
  const time = new Date(ms).toISOString();
  return JSON.stringify({level: 30, time, host, pid: '1', ...fields, event});
}

const ONE = [
  line(1000, 'one', 'request-sent', {request: 'r1', target: 'i-a', run: 1}),
  line(1200, 'one', 'request-broken', {request: 'r1', target: 'i-a'}),
  line(1300, 'one', 'request-sent', {request: 'other', target: 'i-b'}),
  line(1500, 'one', 'request-ended', {request: 'r1', status: 502}),
  line(9000, 'one', 'target-suspended', {target: 'i-a', reason: 'late'}),
].join('\n');
const TWO = [
  line(1100, 'two', 'target-suspended', {target: 'i-a', reason: 'reset'}),
  line(1100, 'two', 'target-suspended', {target: 'i-b', reason: 'reset'}),
  '{"level":30,"time":"2026-',
].join('\n');

// A caller complains of a failed request. Its lines are spread over the logs of
// hosts, one of which was killed in the middle of a line; what another host
// learnt of the same target at that time belongs to the story.
test('the story of a request has its lines and its target’s, in order', t => {
  const story = storyOf('r1', [TWO, ONE]);
  t.deepEqual(
    story.lines.map(({host, event}) => `${host} ${event}`),
    [
      'one request-sent',
      'two target-suspended',
      'one request-broken',
      'one request-ended',
    ],
  );
  t.is(story.unreadable, 1);
  t.is(
    storyText(story).split('\n')[1],
    '    100 ms  two  target-suspended  target=i-a reason=reset',
  );
});

test('the story of an item has what became of its job', t => {
  const log = [
    line(10, 'one', 'job-adopted', {job: 'j1', how: 'accepted'}),
    line(20, 'one', 'item-sent', {job: 'j1', item: 'j1-0', target: 'i-a'}),
    line(25, 'one', 'item-sent', {job: 'j1', item: 'j1-1', target: 'i-a'}),
    line(30, 'two', 'job-claimed', {job: 'j1', from: 'one'}),
  ].join('\n');
  const events = storyOf('j1-0', [log]).lines.map(({event}) => event);
  t.deepEqual(events, ['job-adopted', 'item-sent', 'job-claimed']);
});

// A caller asks for its job by the id that it chose; the log has its account's, too.
test('the story of a job is found by the id that its caller knows', t => {
  const log = line(10, 'one', 'job-adopted', {job: 'bank-one:j1'});
  t.is(storyOf('j1', [log]).lines.length, 1);
  t.is(storyOf('bank-one:j1', [log]).lines.length, 1);
  t.is(storyOf('1', [log]).lines.length, 0);
});

// A request is late and its targets look slow: the host that had it stood still.
// What other hosts did is not its story.
test('the story of a request tells that its host stood still', t => {
  const logs = [
    line(10, 'one', 'request-sent', {request: 'r1', target: 'i-a'}),
    line(900, 'one', 'process-stalled', {ms: 800}),
    line(900, 'two', 'process-stalled', {ms: 700}),
    line(910, 'one', 'request-ended', {request: 'r1', status: 504}),
  ];
  const events = storyOf('r1', logs).lines.map(({event}) => event);
  t.deepEqual(events, ['request-sent', 'process-stalled', 'request-ended']);
});

test('an id that nobody knows has no story', t => {
  t.deepEqual(storyOf('nobody', [ONE]).lines, []);
});

/** A refusal by a full fleet, one by a share, one by a quota, and a wait. */
const REFUSALS = [
  line(0, 'one', 'request-given-up', {request: 'r1', cause: 'room'}),
  line(10, 'one', 'request-given-up', {
    request: 'r1',
    account: 'bank',
    cause: 'share',
    use: 12,
    share: 8,
    room: 40,
    retryAfterMs: 1400,
    promised: true,
  }),
  line(20, 'two', 'request-refused', {request: 'r1', returnAfterMs: 300}),
  line(30, 'two', 'request-late-wait', {
    request: 'r1',
    waitedMs: 250,
    outcome: 'placed',
  }),
];

// A caller asks why it was refused: cause, share, use and promise must be told
// beside the fields, and how long it waited.
test('the story of a refusal says why, and what was promised', t => {
  const text = storyText(storyOf('r1', REFUSALS));
  t.is(
    text,
    `      0 ms  one  request-given-up  request=r1 cause=room
            no target had room
     10 ms  one  request-given-up  request=r1 account=bank cause=share use=12 share=8 room=40 retryAfterMs=1400 promised=true
            its account was over its share; its use: 12; its share: 8; use of all accounts: 40; told to return after, ms: 1400; room is kept for its return
     20 ms  two  request-refused  request=r1 returnAfterMs=300
            told to return after, ms: 300
     30 ms  two  request-late-wait  request=r1 waitedMs=250 outcome=placed
            waited for a late slot, ms: 250; outcome: placed
`,
  );
});

// Hosts of another release log fewer, other or unlike fields: the story of a
// request must not break off or tell of what is not there.
test('the story of a refusal leaves out what its host does not log', t => {
  const texts = [
    line(0, 'one', 'request-given-up', {request: 'r1', reason: 'full'}),
    line(0, 'one', 'request-given-up', {
      request: 'r1',
      cause: 'moon',
      share: 'x',
    }),
    line(0, 'one', 'request-late-wait', {request: 'r1', waitedMs: null}),
  ];
  t.is(
    storyText(storyOf('r1', texts)),
    `      0 ms  one  request-given-up  request=r1 reason=full
      0 ms  one  request-given-up  request=r1 cause=moon share=x
            refused: moon
      0 ms  one  request-late-wait  request=r1 waitedMs=null
`,
  );
});
