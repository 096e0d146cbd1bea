import test from 'ava';
import {readFileSync} from 'node:fs';
import {
  cutAfter,
  fakeServer,
  json,
  refusal,
  whole,
} from '../../fakes/fake_server.js';
import {runCli} from '../../fakes/run_cli.js';
import {tempFile} from '../../fakes/temp_file.js';

function job(state: string, waiting = 0) {
  const done = 2 - waiting;
  const counts = {waiting, done, failed: 0, cancelled: 0, unknown: 0};
  return {id: 'night', state, items: 2, counts, acceptedAt: 0};
}

function result(item: string): string {
  return `${JSON.stringify({item, state: 'done'})}\n`;
}

test('submit sends lines, names the job by its content, and waits', async t => {
  using file = tempFile('items.jsonl', '{"id":"1"}\n{"id":"2"}\n');
  await using server = await fakeServer(
    refusal(404, {kind: 'not-found'}),
    res => res.destroy(),
    json(job('open', 2)),
    json(job('open', 1)),
    json(job('done')),
  );
  const {exitCode, out} = await runCli([
    ...['submit', file.path, '--due', '8h', '--wait'],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.regex(out, /night +done +2 +0 +2/);
  const [, first, again] = server.received;
  const dueAt = Date.UTC(2030, 0, 31, 8);
  t.regex(
    first!.url,
    new RegExp(`^/v1/batch-jobs\\?id=[0-9a-f]{32}&dueAt=${dueAt}$`),
  );
  t.is(again!.url, first!.url);
  t.is(again!.body, readFileSync(file.path, 'utf8'));
  t.is(again!.headers['content-type'], 'application/jsonl');
});

// An operator does not know whether a submit came through and repeats it later.
// Eight hours from now is another time then, and another content.
test('submit again keeps the due time of the job that is there', async t => {
  using file = tempFile('items.jsonl', '{"id":"1"}\n');
  await using server = await fakeServer(
    json({...job('open', 2), dueAt: 5}),
    json(job('open', 2)),
  );
  const {exitCode} = await runCli([
    ...['submit', file.path, '--id', 'night', '--due', '8h'],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.is(server.received[1]!.url, '/v1/batch-jobs?id=night&dueAt=5');
});

test('submit refuses a due time that can be misread', async t => {
  using file = tempFile('items.jsonl', '{}');
  for (const due of ['tomorrow', '2030-01-31 06:00', '8']) {
    const {exitCode} = await runCli(['submit', file.path, '--due', due]);
    t.is(exitCode, 2, due);
  }
  t.is((await runCli(['submit', `${file.path}.not`])).exitCode, 2);
});

// A long download is cut in the middle of a line; the entry then says that it
// stops. Each result must be in the file once.
test('results go on behind the last whole line after a cut', async t => {
  using file = tempFile('out.jsonl', 'old');
  await using server = await fakeServer(
    json(job('done')),
    cutAfter(result('a') + result('b').slice(0, 9)),
    whole(
      result('b') +
        '{"error":{"kind":"leaving","ran":"not-run","message":"m"}}\n',
    ),
    whole(result('c')),
  );
  const {exitCode, err} = await runCli([
    ...['results', 'night', '--out', file.path],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.is(
    readFileSync(file.path, 'utf8'),
    result('a') + result('b') + result('c'),
  );
  t.regex(err, /reading on/);
  t.deepEqual(
    server.received.slice(1).map(req => req.url),
    ['', '?after=a', '?after=b'].map(
      query => `/v1/batch-jobs/night/results${query}`,
    ),
  );
});

test('results of a job that is cut again and again end with an error', async t => {
  await using server = await fakeServer(
    json(job('open')),
    ...Array.from({length: 20}, () => cutAfter('{')),
  );
  const {exitCode} = await runCli(['results', 'night', '--url', server.url]);
  t.is(exitCode, 3);
});

test('cancel tells where the job stands', async t => {
  await using server = await fakeServer(json(job('cancelling', 1)));
  const {out} = await runCli(['cancel', 'night', '--url', server.url]);
  t.regex(out, /night +cancelling/);
  t.is(server.received[0]!.url, '/v1/batch-jobs/night/cancel');
});
