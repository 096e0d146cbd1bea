import test from 'ava';
import {fakeServer, json, refusal} from '../../fakes/fake_server.js';
import {runCli} from '../../fakes/run_cli.js';
import {tempFile} from '../../fakes/temp_file.js';

const SINCE = Date.UTC(2030, 0, 31) - 180_000;

function view(kind: string, name: string, resourceVersion = 1, spec = {}) {
  const conditions = [
    {type: 'Ready', status: 'false', reason: 'NoTarget', since: SINCE},
    {type: 'Degraded', status: 'false', reason: 'NoTarget', since: SINCE},
  ];
  return {kind, name, resourceVersion, spec, status: {conditions}};
}

test('get prints a table, or JSON that apply can read', async t => {
  const model = view('models', 'm');
  await using server = await fakeServer(
    json({revision: 1, resources: [model]}),
    json(model),
  );
  const url = ['--url', server.url];
  const table = await runCli(['get', ...url]);
  t.regex(
    table.out,
    /models +m +1 +not Ready \(NoTarget, 3m\)\n/,
    `${table.err} ${JSON.stringify(server.received)}`,
  );
  const {out} = await runCli(['get', 'models', 'm', '-o', 'json', ...url]);
  t.deepEqual(JSON.parse(out), model);
  t.deepEqual(
    server.received.map(req => req.url),
    ['/v1/resources', '/v1/resources/models/m'],
  );
});

test('get says when the answer may be old', async t => {
  await using server = await fakeServer((res, req) => {
    res.setHeader('oathead-stale', 'true');
    json({revision: 1, resources: []})(res, req);
  });
  const {exitCode, err} = await runCli(['get', '--url', server.url]);
  t.is(exitCode, 0);
  t.regex(err, /may be some seconds old/);
});

test('apply declares a model and its version, which name each other', async t => {
  using file = tempFile(
    'fleet.json',
    JSON.stringify([
      {kind: 'models', name: 'm', spec: {version: 'm-1'}},
      {kind: 'versions', name: 'm-1', spec: {model: 'm', weights: 'w'}},
    ]),
  );
  await using server = await fakeServer(
    refusal(412, {kind: 'revision-conflict', currentVersion: 1}),
    json(view('versions', 'm-1', 2)),
    json(view('models', 'm', 3)),
  );
  const {exitCode, out} = await runCli([
    ...['apply', '-f', file.path],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.is(out, 'versions/m-1 at version 2\nmodels/m at version 3\n');
  t.deepEqual(
    server.received.map(({headers, body}) => [headers['if-none-match'], body]),
    [
      ['*', '{"spec":{}}'],
      [undefined, '{"spec":{"model":"m","weights":"w"}}'],
      [undefined, '{"spec":{"version":"m-1"}}'],
    ],
  );
});

test('apply lists every problem of a file and sends nothing', async t => {
  using file = tempFile(
    'fleet.json',
    JSON.stringify([
      {kind: 'models', name: 'M', spec: {maxOnline: 0}},
      {kind: 'limits', name: 'x', spec: {concurrent: 'many'}},
    ]),
  );
  const {exitCode, err} = await runCli(['apply', '-f', file.path]);
  t.is(exitCode, 2);
  t.regex(err, /models\/M: name: /);
  t.regex(err, /models\/M: spec.maxOnline: /);
  t.regex(err, /limits\/x: spec.concurrent: /);
  const check = ['check-config', file.path, '--as', 'resources'];
  t.is((await runCli(check)).exitCode, 2);
});

// The connection is cut after the server has made the change. The operator must
// neither be told that it failed nor make it twice.
test('apply sends the same change again when its answer is lost', async t => {
  using file = tempFile('m.json', '{"kind":"models","name":"m"}');
  await using server = await fakeServer(
    res => res.destroy(),
    json(view('models', 'm', 7)),
  );
  const {exitCode, out} = await runCli([
    ...['apply', '-f', file.path],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.is(out, 'models/m at version 7\n');
  const [first, second] = server.received.map(
    ({headers}) => headers['idempotency-key'],
  );
  t.truthy(first);
  t.is(first, second);
});

test('delete passes its condition on', async t => {
  await using server = await fakeServer(json(view('limits', 'bank-a')));
  const {out} = await runCli([
    ...['delete', 'limits', 'bank-a', '--if-match', '12'],
    ...['--url', server.url],
  ]);
  t.is(out, 'limits/bank-a deleted\n');
  t.is(server.received[0]!.headers['if-match'], '"12"');
});

// Two operators change one target at once: one drains it, the other changes its
// pools. Neither change may be lost.
test('drain keeps what another operator changed meanwhile, and waits', async t => {
  const leaving = (reason: string) => ({
    ...view('targets', 't'),
    status: {
      conditions: [{type: 'Leaving', status: 'true', reason, message: ''}],
    },
  });
  await using server = await fakeServer(
    json(view('targets', 't', 1, {pools: ['a']})),
    refusal(412, {kind: 'revision-conflict', currentVersion: 2}),
    json(view('targets', 't', 2, {pools: ['b']})),
    json(view('targets', 't', 3, {pools: ['b'], leaving: true})),
    json(leaving('Finishing')),
    json(leaving('Empty')),
  );
  const {exitCode, out} = await runCli([
    ...['drain', 't', '--wait', '60'],
    ...['--url', server.url],
  ]);
  t.is(exitCode, 0);
  t.is(out, 'targets/t leaving\ntargets/t empty\n');
  const put = server.received[3]!;
  t.is(put.headers['if-match'], '"2"');
  t.is(put.body, '{"spec":{"pools":["b"],"leaving":true}}');
});

test('status shows what is wrong, and nothing of what is not', async t => {
  const spread = {current: 3, behind: 1, unknown: 0, examples: ['hall-a-9']};
  await using server = await fakeServer(
    json({
      revision: 9,
      declared: {models: 1, versions: 1, adapters: 0, targets: 4},
      inForce: {entries: spread, targets: spread},
      models: [{kind: 'models', name: 'm', conditions: []}],
      leaving: [],
      rollouts: [],
      troubled: [],
      refusals: [{kind: 'overloaded', pool: 'm', count: 4, lastAt: SINCE}],
      jobsAtRisk: [],
    }),
  );
  const {out} = await runCli(['status', '--url', server.url]);
  t.regex(out, /Revision 9/);
  t.regex(out, /targets +3 +1 +0 +hall-a-9/);
  t.regex(out, /overloaded +m +4 +3m ago/);
  t.notRegex(out, /Leaving|Rollouts|risk/);
});
