import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {KEPT_SEEDS} from '../../lib/process/kept_seeds.js';
import {
  FIRST_FAULT_KINDS,
  GIVING_UP_FAULT_KINDS,
  LOST_JOB_FAULT_KINDS,
  OVERLOAD_FAULT_KINDS,
  planFaults,
  POISON_FAULT_KINDS,
  TAKE_UP_FAULT_KINDS,
  VERSION_FAULT_KINDS,
  type SoakOptions,
} from '../../lib/process/soak_plan.js';

const COMMAND = fileURLToPath(new URL('../../../bin/soak.js', import.meta.url));
const MS_PER_MINUTE = 60_000;

const SHORT: SoakOptions = {
  seed: 1,
  loadMs: 12_000,
  programs: 3,
  engines: 3,
  kinds: [...FIRST_FAULT_KINDS, 'server-answer-mixes'],
};
const GIVING_UP: SoakOptions = {...SHORT, kinds: GIVING_UP_FAULT_KINDS};
const LOST_JOBS: SoakOptions = {...SHORT, kinds: LOST_JOB_FAULT_KINDS};
const OVERLOAD: SoakOptions = {...SHORT, kinds: OVERLOAD_FAULT_KINDS};

const VERSIONS: SoakOptions = {
  ...SHORT,
  programs: 4,
  engines: 6,
  kinds: [
    ...VERSION_FAULT_KINDS,
    'server-release',
    'program-kill',
    'programs-kill-all',
    'program-stop',
    'server-crash',
    'connections-reset',
  ],
};

const POISON: SoakOptions = {
  ...SHORT,
  programs: 4,
  engines: 8,
  kinds: [
    ...POISON_FAULT_KINDS,
    'program-kill',
    'programs-kill-all',
    'store-away',
    'store-lost-answers',
    'server-crash',
  ],
};

const LOST_HOSTS: SoakOptions = {
  ...SHORT,
  loadMs: 6000,
  programs: 4,
  engines: 6,
  kinds: [
    ...TAKE_UP_FAULT_KINDS,
    'programs-kill-all',
    'program-kill',
    'server-crash',
    'connections-reset',
  ],
};

/** It has no load with faults: what comes last is played by itself. */
const LONG_STOPS: SoakOptions = {
  ...SHORT,
  loadMs: 1800,
  engines: 6,
  kinds: ['program-stops-long'],
};

const STOP_PROMISE = 'a planned stop cuts off nothing';

/**
 * Runs the command in a process of its own, which is ended when it has said what
 * it found: sockets that were reset can keep a process from exiting.
 */
async function brokenRuns(options: SoakOptions): Promise<string> {
  const {seed, loadMs, programs, engines, kinds = []} = options;
  const child = spawn(process.execPath, [
    COMMAND,
    `--seed=${seed}`,
    `--minutes=${loadMs / MS_PER_MINUTE}`,
    `--programs=${programs}`,
    `--engines=${engines}`,
    ...kinds.map(kind => `--kinds=${kind}`),
  ]);
  let text = '';
  for await (const piece of child.stdout) {
    text += String(piece);
    if (/\d+ runs, \d+ with/.test(text)) break;
  }
  child.kill('SIGKILL');
  return text;
}

let shortRun: Promise<string> | undefined;

/** @returns What the short run found; it is run once. */
function shortRunText(): Promise<string> {
  shortRun ??= brokenRuns(SHORT);
  return shortRun;
}

// Users see lost, doubled or mixed answers on a day on which several things go
// wrong at once: programs that are killed, paused and restarted, a store that
// fails, links and servers that misbehave, in series and overlapping.
test('a short run with faults of the first kinds keeps all promises but that of planned stops', async t => {
  const text = await shortRunText();
  t.regex(text, /1 runs, \d+ with/);
  const broken = text.split('\n').filter(line => line.includes('BROKEN'));
  const others = broken.filter(line => !line.includes(STOP_PROMISE));
  t.deepEqual(others, []);
});

// Users lose an item that was accepted: it is given up while its route or a target
// is away, fails or is not seen, though no target has failed it often enough.
test('a short run with faults that may have items given up keeps all promises', async t => {
  t.regex(await brokenRuns(GIVING_UP), /1 runs, 0 with a broken promise/);
});

// Users lose a job that was accepted: programs are killed together or by
// themselves, and those that live or start next have not heard of the job, or
// differ on who is alive, since feeds hear nothing and writes come late.
test('a short run with jobs that hosts have not heard of keeps all promises', async t => {
  t.regex(await brokenRuns(LOST_JOBS), /1 runs, 0 with a broken promise/);
});

// Callers of an account that asks for little pay for the flood of another one, or
// an account gets more than its quota, while servers differ in speed.
test('a short run with floods and unlike servers keeps all promises', async t => {
  t.regex(await brokenRuns(OVERLOAD), /1 runs, 0 with a broken promise/);
});

// Callers get streams of two software versions, or lose target after target to
// requests that share one part of their prompts.
test('a short run with several software versions and a bad part keeps all promises', async t => {
  t.regex(await brokenRuns(VERSIONS), /1 runs, 0 with a broken promise/);
});

// Callers lose target after target to one request that is sent again and again,
// or are refused because they share parts of their prompts with it.
test('a short run with a poison request beside sound ones keeps all promises', async t => {
  t.regex(await brokenRuns(POISON), /1 runs, 0 with a broken promise/);
});

// Callers take streams up after all hosts were lost in a release, and they go on
// at another software version, or are refused though their own one serves.
test('a short run with all hosts lost in releases keeps all promises', async t => {
  t.regex(await brokenRuns(LOST_HOSTS), /1 runs, 0 with a broken promise/);
});

// Callers see their connection break in the middle of an answer: a program is
// stopped as planned, new connections go on coming, and at the end of its time
// it cuts what is under way. It had gone on listening after callers should have
// left, so that there was always a request open: `process-drained` came after 7.6 s
// with `open` at 3 to 7, and comes after 3.4 s with `open` at 0 now.
test('a planned stop in a short run cuts off nothing', async t => {
  const text = await shortRunText();
  t.regex(text, /1 runs, \d+ with/);
  t.false(text.includes(STOP_PROMISE));
});

// Callers lose requests that a stopping program takes on open connections and
// cannot finish: ones that last as long as their routes allow, sent until the
// program is gone, while one program after another is stopped.
test('planned stops in series during long requests lose none', async t => {
  t.regex(await brokenRuns(LONG_STOPS), /1 runs, 0 with a broken promise/);
});

for (const {options, cause, inTests} of KEPT_SEEDS) {
  if (!inTests) continue;
  test(`seed ${options.seed} keeps all promises: ${cause}`, async t => {
    t.regex(await brokenRuns(options), /1 runs, 0 with a broken promise/);
  });
}

test('a seed always gives the same faults', t => {
  t.deepEqual(planFaults(SHORT), planFaults(SHORT));
  t.notDeepEqual(planFaults(SHORT), planFaults({...SHORT, seed: 2}));
});
