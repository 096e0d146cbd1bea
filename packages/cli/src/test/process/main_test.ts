import test from 'ava';
import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {VERBS} from '../../lib/process/verbs.js';
import {fakeServer, json, refusal} from '../fakes/fake_server.js';
import {runCli} from '../fakes/run_cli.js';
import {tempFile} from '../fakes/temp_file.js';

const BINARY = fileURLToPath(
  new URL('../../../bin/oathead.js', import.meta.url),
);
/** An entry whose store is away. */
const ENTRY_SETTINGS = {
  entryId: 'entry-0',
  dataCentre: 'hall-a',
  listen: {port: 0},
  peers: {port: 0},
  platform: {kind: 'http', url: 'http://127.0.0.1:9'},
  graceMs: 5000,
};
/** Work of about two seconds for an engine of the demo. */
const SLOW_STREAM = {
  model: 'review-llm',
  prompt: '[[slow]]',
  max_tokens: 100,
  stream: true,
};
const SIGNAL_PAUSE_MS = 200;

test('each verb has help with an example', async t => {
  for (const {command, examples} of VERBS) {
    const name = command.split(' ')[0]!;
    const {exitCode, out} = await runCli([name, '--help']);
    t.is(exitCode, 0);
    t.true(examples.length > 0, name);
    t.true(out.includes('Examples:'), name);
  }
});

test('bad usage ends with 2 and shows how it is meant', async t => {
  for (const argv of [[], ['aply'], ['delete', 'models'], ['get', '--x']]) {
    const {exitCode, out, err} = await runCli(argv);
    t.is(exitCode, 2, argv.join(' '));
    t.is(out, '');
    t.regex(err, /oathead/);
  }
  const {exitCode, err} = await runCli(['get', '--url', 'ftp://x']);
  t.is(exitCode, 2);
  t.regex(err, /not an http/);
});

test('a load that cannot be sent is refused, and nothing is sent', async t => {
  for (const argv of [
    ['load', 'm', '--rate', '0'],
    ['load', 'm', '--seconds', 'x'],
    ['load', 'm', '--url', 'ftp://x'],
    ['load', 'm', '--path', 'review', '--batch-items', '5'],
  ]) {
    const {exitCode, out, err} = await runCli(argv);
    t.is(exitCode, 2, argv.join(' '));
    t.is(out, '');
    t.regex(err, /--rate|--seconds|http|--batch-items/);
  }
});

test('a load counts every request that finds no server', async t => {
  const url = 'http://127.0.0.1:1';
  const argv = ['load', 'm', '--url', url, '--seconds', '2', '--rate', '5'];
  const {exitCode, out} = await runCli([...argv, '-o', 'json']);
  t.is(exitCode, 1);
  const {sent, outcomes} = JSON.parse(out);
  t.true(sent > 0);
  t.deepEqual(outcomes, {broken: sent});
});

test('wrong settings of an entry are listed, and nothing is started', async t => {
  using file = tempFile('entry.json', '{"entryId":"E","listen":{"port":"x"}}');
  for (const argv of [
    ['entry', '--config', file.path],
    ['check-config', file.path],
  ]) {
    const {exitCode, out, err} = await runCli(argv);
    t.is(exitCode, 2);
    t.is(out, '');
    t.regex(err, /entryId: /);
    t.regex(err, /listen\.port: /);
    t.regex(err, /dataCentre: /);
  }
  t.is((await runCli(['check-config', `${file.path}.not`])).exitCode, 2);
});

test('each refusal has its exit code', async t => {
  const cases = [
    [400, {kind: 'invalid-request', problems: [{path: 'a', message: 'b'}]}, 1],
    [412, {kind: 'revision-conflict', currentVersion: 3}, 4],
    [404, {kind: 'not-found'}, 5],
    [401, {kind: 'unauthorized'}, 6],
    [429, {kind: 'rate-limited'}, 7],
    [409, {kind: 'outcome-unknown', ran: 'may-have-run'}, 8],
  ] as const;
  for (const [status, error, expected] of cases) {
    await using server = await fakeServer(refusal(status, error));
    const {exitCode, err} = await runCli(['get', '--url', server.url]);
    t.is(exitCode, expected, error.kind);
    t.true(err.includes(error.kind));
  }
});

test('a server that cannot be reached is 3', async t => {
  const server = await fakeServer();
  await server[Symbol.asyncDispose]();
  t.is((await runCli(['get', '--url', server.url])).exitCode, 3);
});

test('a refusal that passes is tried again; the key goes along', async t => {
  await using server = await fakeServer(
    refusal(503, {kind: 'store-unavailable'}),
    json({revision: 1, resources: []}),
  );
  const {exitCode, out} = await runCli(['get'], {
    OATHEAD_URL: server.url,
    OATHEAD_KEY: 'secret',
  });
  t.is(exitCode, 0);
  t.is(out, '(none)\n');
  t.is(server.received[1]!.headers.authorization, 'Bearer secret');
});

// The binary waits before it tries again. Were that wait not to keep the process
// up, it would end in the middle with an exit code that says nothing.
test('the binary waits for its retries', async t => {
  await using server = await fakeServer(
    refusal(503, {kind: 'store-unavailable'}),
    json({revision: 1, resources: []}),
  );
  const argv = [BINARY, 'get', '--url', server.url];
  const {stdout} = await promisify(execFile)(process.execPath, argv);
  t.is(stdout, '(none)\n');
});

// Whoever is still connected to a host that is being replaced is cut off: a
// supervisor and an operator both ask its entry to stop. The entry must end by
// itself, once its callers have left; the handler was taken off with the first
// signal, and a signal without one ends the process at once.
test('an entry that is asked to stop again ends by itself', async t => {
  using settings = tempFile('entry.json', JSON.stringify(ENTRY_SETTINGS));
  const argv = [BINARY, 'entry', '--config', settings.path];
  const entry = spawn(process.execPath, argv);
  t.teardown(() => entry.kill('SIGKILL'));
  const ended = once(entry, 'exit');
  const [line] = (await once(entry.stdout, 'data')) as [Buffer];
  const {port} = JSON.parse(String(line)) as {readonly port: number};
  const caller = connect({host: '127.0.0.1', port});
  caller.write('POST /v1/chat/completions HTTP/1.1\r\nhost: oathead\r\n');
  for (let i = 0; i < 3; i++) {
    await setTimeout(SIGNAL_PAUSE_MS);
    entry.kill('SIGTERM');
  }
  await setTimeout(SIGNAL_PAUSE_MS);
  caller.destroy();
  t.deepEqual(await ended, [0, null]);
});

// Whoever tries the demo by hand has a stream broken off: the second SIGTERM finds
// no handler and ends the process at once.
test('a demo that is asked to stop again ends its streams', async t => {
  const demo = spawn(process.execPath, [BINARY, 'demo', '--serve']);
  t.teardown(() => demo.kill('SIGKILL'));
  let out = '';
  demo.stdout.on('data', (data: Buffer) => (out += String(data)));
  while (!/caller key: .*\n/.test(out)) await setTimeout(SIGNAL_PAUSE_MS);
  const ended = once(demo, 'exit');
  const res = await fetch(`${/http:\S+/.exec(out)![0]}/v1/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${/caller key: (.*)\n/.exec(out)![1]}`},
    body: JSON.stringify(SLOW_STREAM),
  });
  demo.kill('SIGTERM');
  await setTimeout(SIGNAL_PAUSE_MS);
  demo.kill('SIGTERM');
  t.true((await res.text()).includes('[DONE]'));
  t.deepEqual(await ended, [0, null]);
});
