import {NO_COUNTERS, SYSTEM_CLOCK} from '@oathead/core';
import type {ServeEvent} from '@oathead/core';
import {TrpcTargetLink} from '@oathead/wire';
import test from 'ava';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request as get} from 'undici';
import {runMain} from '../../lib/process/main.js';
import {CONFIG, offer, request, streamedText} from '../service_fixture.js';

const LOCAL = {host: '127.0.0.1', port: 0};
const SETTINGS = {
  targetId: 't1',
  dataCentre: 'hall-a',
  listen: LOCAL,
  http: LOCAL,
  engine: {url: 'http://127.0.0.1:1', fenceCheck: 'unfenced'},
};
const NEVER = new AbortController().signal;

async function settingsFile(settings: unknown): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), 'oathead-target-'));
  const file = join(dir, 'target.json');
  await writeFile(file, JSON.stringify(settings));
  return file;
}

async function run(...argv: readonly string[]) {
  const printed: string[] = [];
  const errors: string[] = [];
  const missing = () => {
    throw new Error('must not be started');
  };
  const code = await runMain(argv, {
    createAdmission: missing,
    createEngine: missing,
    createService: missing,
    print: text => printed.push(text),
    printError: text => errors.push(text),
  });
  return {code, printed: printed.join('\n'), errors: errors.join('\n')};
}

test('helps, and tells its version', async t => {
  const help = await run('--help');
  t.is(help.code, 0);
  t.true(help.printed.includes('--config'));
  const version = await run('--version');
  t.is(version.code, 0);
  t.regex(version.printed, /^\d+\.\d+\.\d+$/);
});

test('lists all that is wrong with its settings and starts nothing', async t => {
  const {targetId, ...rest} = SETTINGS;
  const wrong = {...rest, listen: {...LOCAL, port: -1}, graceMS: 5};
  const {code, errors} = await run('--config', await settingsFile(wrong));
  t.is(code, 2);
  for (const path of ['targetId', 'listen.port', 'graceMS']) {
    t.true(errors.includes(path), `${path} in ${errors}`);
  }
  const bare = {...rest, targetId, engine: undefined};
  const none = await run('--config', await settingsFile(bare));
  t.true(none.errors.includes('needs an engine'));
  t.is((await run('--config', 'missing.json')).code, 2);
  t.is((await run('--what')).code, 2);
});

async function startProcess(settings: unknown) {
  const script = new URL('../target_process.js', import.meta.url).pathname;
  const args = [script, '--config', await settingsFile(settings)];
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  const ports = JSON.parse(line.toString()) as {wire: number; http: number};
  const link = new TrpcTargetLink({
    url: `ws://127.0.0.1:${ports.wire}`,
    clock: SYSTEM_CLOCK,
    counters: NO_COUNTERS,
  });
  return {child, ports, link};
}

async function pageOf(port: number, page: string) {
  const {statusCode, body} = await get(`http://127.0.0.1:${port}${page}`);
  return {status: statusCode, text: await body.text()};
}

// A host is replaced while a customer waits for an answer. The process is asked
// to stop in mid-stream: the stream must end whole, a new request must be sent
// elsewhere, and the process must end by itself with exit code 0.
test('a real process stops without cutting off a stream', async t => {
  const {child, ports, link} = await startProcess(SETTINGS);
  t.teardown(() => child.kill('SIGKILL'));
  t.is((await pageOf(ports.http, '/readyz')).status, 503);
  await link.heartbeat(offer(CONFIG), NEVER);
  t.is((await pageOf(ports.http, '/readyz')).status, 200);
  t.is((await pageOf(ports.http, '/healthz')).status, 200);
  t.is((await pageOf(ports.http, '/other')).status, 404);
  const got: ServeEvent[] = [];
  const reports = link.reports(NEVER);
  for await (const event of link.serve(request(), NEVER)) {
    got.push(event);
    if (got.length !== 3) continue;
    child.kill('SIGTERM');
    for await (const {leaving} of reports) if (leaving) break;
    const late = await link.serve(request(), NEVER).next();
    t.like(late.value, {refusal: {kind: 'leaving', ran: 'not-run'}});
  }
  const last = got.at(-1);
  t.is(last?.kind, 'done');
  t.is(streamedText(got).split(' ').length, 17);
  const [code] = (await once(child, 'exit')) as [number];
  t.is(code, 0);
  link[Symbol.dispose]();
});

// The stream of a customer breaks in the middle: a supervisor and an operator both
// ask the process to stop. It must take the second signal for the first one said
// again; the handler was taken off with the first, and a signal without one ends
// the process at once.
test('a stop that is asked for again cuts off no stream', async t => {
  const {child, link} = await startProcess(SETTINGS);
  t.teardown(() => child.kill('SIGKILL'));
  await link.heartbeat(offer(CONFIG), NEVER);
  const got: ServeEvent[] = [];
  for await (const event of link.serve(request(), NEVER)) {
    got.push(event);
    if (got.length > 2 && got.length < 6) child.kill('SIGTERM');
  }
  t.is(got.at(-1)?.kind, 'done');
  t.is(streamedText(got).split(' ').length, 17);
  t.deepEqual(await once(child, 'exit'), [0, null]);
  link[Symbol.dispose]();
});

test('metrics tell how requests ended', async t => {
  const {child, ports, link} = await startProcess(SETTINGS);
  t.teardown(() => child.kill('SIGKILL'));
  await link.heartbeat(offer(CONFIG), NEVER);
  for await (const event of link.serve(request(), NEVER)) void event;
  const {text} = await pageOf(ports.http, '/metrics');
  t.regex(text, /oathead_target_requests_total\{.*outcome="done"\} 1/);
  t.true(text.includes('oathead_target_online_capacity 2'));
  t.regex(text, /oathead_target_first_token_ms_count\{.*\} 1/);
  link[Symbol.dispose]();
  child.kill('SIGTERM');
  t.deepEqual(await once(child, 'exit'), [0, null]);
});
