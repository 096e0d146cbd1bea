import test, {type ExecutionContext} from 'ava';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const BIN = fileURLToPath(
  new URL('../../../bin/stand_ins.js', import.meta.url),
);

async function start(t: ExecutionContext, ...args: readonly string[]) {
  const child = spawn(process.execPath, [BIN, ...args]);
  t.teardown(() => child.kill());
  const exit = once(child, 'exit');
  const [line] = (await Promise.race([
    once(child.stdout, 'data'),
    exit.then(() => [undefined]),
  ])) as [Buffer | undefined];
  const ready = line && (JSON.parse(line.toString()) as {port: number});
  const url = `http://127.0.0.1:${ready?.port}`;
  const exitCode = async () => ((await exit) as [number | null])[0];
  return {child, url, exitCode};
}

for (const name of ['engine', 'service', 'platform']) {
  test(`${name}: says that it is ready, and ends on SIGTERM`, async t => {
    const {child, url, exitCode} = await start(t, name);
    const path = name === 'platform' ? 'counts' : 'seen';
    t.is((await fetch(`${url}/v1/admin/${path}`)).status, 200);
    child.kill('SIGTERM');
    t.is(await exitCode(), 0);
  });
}

test('takes its settings from a file', async t => {
  const directory = await mkdtemp(join(tmpdir(), 'stand_ins-'));
  t.teardown(() => rm(directory, {recursive: true}));
  const file = join(directory, 'engine.json');
  const model = {kvTokens: 5000, loadLagMs: 0};
  await writeFile(file, JSON.stringify({serves: ['crewmodel@v7'], model}));
  const {url} = await start(t, 'engine', '--config', file);
  const load = await fetch(`${url}/v1/load`);
  t.like(await load.json(), {
    kvTokensTotal: 5000,
    versions: [{model: 'crewmodel', version: 'v7', state: 'ready'}],
  });
});

test('refuses wrong arguments', async t => {
  const {exitCode} = await start(t, 'engine', '--serves', 'no-version');
  t.is(await exitCode(), 2);
});

test('an engine dies of a prompt that crashes it', async t => {
  const {url, exitCode} = await start(t, 'engine');
  const input = {kind: 'prompt', prompt: '[[crash]]'};
  const model = 'review-llm';
  const completion = {kind: 'completion', model, input, maxTokens: 5};
  const body = JSON.stringify({id: 'a', completion});
  await t.throwsAsync(fetch(`${url}/v1/generate`, {method: 'POST', body}));
  t.is(await exitCode(), 1);
});
