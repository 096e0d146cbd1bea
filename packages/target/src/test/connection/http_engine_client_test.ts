import test, {type ExecutionContext} from 'ava';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {EngineError, type EngineEvent, type EngineRequest} from '@oathead/core';
import {
  EngineStandIn,
  engineText,
  type EngineStandInOptions,
} from '@oathead/stand-ins';
import {HttpEngineClient} from '../../lib/connection/http_engine_client.js';

const SPEED = 20;
/** More tokens than any test waits for. */
const ENDLESS = 100_000;

function request(id: string, prompt: string, maxTokens = 200): EngineRequest {
  const input = {kind: 'prompt', prompt} as const;
  const model = 'review-llm';
  return {
    id,
    completion: {kind: 'completion', model, input, maxTokens},
  };
}

function never(): AbortSignal {
  return new AbortController().signal;
}

async function create(t: ExecutionContext, options: EngineStandInOptions = {}) {
  const standIn = new EngineStandIn({speed: SPEED, ...options});
  await standIn.listen();
  const client = new HttpEngineClient(standIn.server.url);
  const read = async (req: EngineRequest, signal = never()) => {
    const events: EngineEvent[] = [];
    let err: EngineError | undefined;
    try {
      for await (const event of client.generate(req, signal))
        events.push(event);
    } catch (e) {
      err = e as EngineError;
    }
    return {events, err};
  };
  t.teardown(() => standIn[Symbol.asyncDispose]());
  return {standIn, client, read, engine: standIn.engine};
}

function textOf(events: readonly EngineEvent[]): string {
  return events.map(e => (e.kind === 'token' ? e.text : '')).join('');
}

async function untilTrue(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve));
}

test('streams whole answers, each to its own request', async t => {
  const {read} = await create(t);
  const requests = [...Array(20).keys()].map(i => request(`r${i}`, `ask ${i}`));
  const answers = await Promise.all(requests.map(req => read(req)));
  answers.forEach(({events}, i) => {
    t.is(textOf(events), engineText(requests[i]!.completion).text);
    t.is(events.at(-1)!.kind, 'done');
  });
});

test('tells refused, failed and lost apart', async t => {
  const {read, engine, standIn} = await create(t);
  t.is((await read(request('a', '[[impossible]]'))).err?.kind, 'failed');
  t.is(engine.runs('a').started, 1);
  engine.setFaults({breaksAfterTokens: 3});
  const broken = await read(request('b', 'hello'));
  t.is(broken.err?.kind, 'lost');
  // What was sent last may be lost with the connection.
  t.true(broken.events.length <= 3);
  engine.setFaults({refuses: true});
  t.is((await read(request('c', 'hello'))).err?.kind, 'refused');
  t.is(engine.runs('c').started, 0);
  await standIn[Symbol.asyncDispose]();
  t.is((await read(request('c', 'hello'))).err?.kind, 'refused');
});

// A user gets half an answer that looks whole. The engine, or something before
// it, closed the stream in good order after a few tokens, or answered an error
// of its own after the engine had begun.
test('takes nothing for an answer that does not say it is done', async t => {
  const token = 'data: {"kind":"token","index":0,"text":"half"}\n\n';
  const answers: ReadonlyArray<readonly [number, string]> = [
    [200, token],
    [200, `${token}data: {"kind":"surprise"}\n\n`],
    [200, `${token}event: error\ndata: overloaded\n\n`],
    [503, 'upstream is busy'],
    [404, ''],
  ];
  for (const [status, body] of answers) {
    const server = createServer((req, res) => {
      res.writeHead(status).end(body);
    });
    t.teardown(() => server.close());
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const client = new HttpEngineClient(`http://127.0.0.1:${port}`);
    const read = async () => {
      for await (const event of client.generate(request('a', 'x'), never()))
        t.is(event.kind, 'token');
    };
    const err = await t.throwsAsync(read(), {instanceOf: EngineError});
    t.is(err?.kind, 'lost');
  }
});

test('cancels at the engine on abort and when the reader leaves', async t => {
  const {client, engine} = await create(t);
  const abort = new AbortController();
  const aborted = async () => {
    for await (const event of client.generate(
      request('a', '[[slow]]', ENDLESS),
      abort.signal,
    ))
      if (event.kind === 'token') abort.abort();
  };
  const err = await t.throwsAsync(aborted(), {instanceOf: EngineError});
  t.is(err?.kind, 'lost');
  for await (const event of client.generate(
    request('b', '[[slow]]', ENDLESS),
    never(),
  )) {
    t.is(event.kind, 'token');
    break;
  }
  await untilTrue(() => engine.runs('a').cut + engine.runs('b').cut === 2);
});

test('breaks all streams when the engine crashes', async t => {
  const {client, read} = await create(t);
  const innocent = client.generate(request('a', '[[slow]]', ENDLESS), never());
  await innocent.next();
  t.is((await read(request('b', '[[crash]]'))).err?.kind, 'lost');
  const rest = async () => {
    for await (const event of innocent) t.is(event.kind, 'token');
  };
  const err = await t.throwsAsync(rest(), {instanceOf: EngineError});
  t.is(err?.kind, 'lost');
});

// A user sees an answer that never comes although the engine is well: its
// connection was open when something between the ends lost track of it.
test('a silent connection hurts only its own stream', async t => {
  const {standIn, client, read} = await create(t);
  const abort = new AbortController();
  const stream = client.generate(
    request('a', '[[slow]]', ENDLESS),
    abort.signal,
  );
  await stream.next();
  standIn.server.silenceConnections();
  t.is((await read(request('b', 'hello'))).err, undefined);
  t.is((await client.load(never())).kvTokensTotal, 120_000);
  abort.abort();
  await t.throwsAsync(async () => {
    for await (const event of stream) t.is(event.kind, 'token');
  });
});

test('passes orders, load and cache on', async t => {
  const {client, engine, read} = await create(t, {
    model: {cacheEventLagMs: 0, cacheEventLoss: 0},
    served: {loadAdapterMs: 0},
  });
  const order = (token: number) =>
    client.order(
      {
        id: 'o',
        fence: {token, holder: 'h'},
        action: {kind: 'load-adapter', model: 'review-llm', adapter: 'bank-a'},
      },
      never(),
    );
  t.is((await order(2)).kind, 'taken');
  t.like(await order(1), {kind: 'refused', refusal: {kind: 'fenced'}});
  const {versions} = await client.load(never());
  t.like(versions, {0: {version: 'v1', adapters: ['bank-a']}});
  await read(request('a', 'x'.repeat(600)));
  const [event] = await client.cacheEvents(0, never());
  const cache = await client.exportCache(event!.prefix, never());
  await client.importCache(cache, never());
  await t.throwsAsync(client.exportCache('none', never()), {
    message: /not cached/,
  });
  t.is(engine.served.orders.length, 1);
});
