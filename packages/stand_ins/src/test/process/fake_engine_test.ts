import test from 'ava';
import {
  EngineError,
  type Completion,
  type EngineEvent,
  type EngineRequest,
  type Order,
} from '@oathead/core';
import {engineText} from '../../lib/process/engine_text.js';
import {
  FakeEngine,
  type FakeEngineOptions,
} from '../../lib/process/fake_engine.js';
import {VirtualClock} from '../../lib/process/virtual_clock.js';

const NEVER = new AbortController().signal;

function request(id: string, prompt: string): EngineRequest {
  return {id, completion: completionOf(prompt)};
}

function completionOf(prompt: string): Completion {
  return {
    kind: 'completion',
    model: 'review-llm',
    input: {kind: 'prompt', prompt},
    maxTokens: 100,
  };
}

function create(options?: FakeEngineOptions) {
  const clock = new VirtualClock();
  const engine = new FakeEngine(clock, options);
  const start = async (req: EngineRequest, signal = NEVER) => {
    const events: EngineEvent[] = [];
    let err: EngineError | undefined;
    try {
      for await (const event of engine.generate(req, signal))
        events.push(event);
    } catch (e) {
      err = e as EngineError;
    }
    return {events, err};
  };
  const read = (req: EngineRequest, signal = NEVER) =>
    clock.until(start(req, signal));
  return {clock, engine, start, read};
}

function textOf(events: readonly EngineEvent[]): string {
  return events.map(e => (e.kind === 'token' ? e.text : '')).join('');
}

test('streams the answer that belongs to the request', async t => {
  const {engine, read} = create();
  const req = request('a', 'hello [[length:30]]');
  const {events} = await read(req);
  t.is(textOf(events), engineText(req.completion).text);
  t.like(events.at(-1), {kind: 'done', finishReason: 'stop'});
  t.is(events.length, 31);
  t.deepEqual(engine.runs('a'), {started: 1, done: 1, failed: 0, cut: 0});
});

test('goes on where another engine stopped', async t => {
  const {read} = create();
  const {completion} = request('a', 'hello [[length:30]]');
  const {tokens, text} = engineText(completion);
  const resume = {tokens: 10, text: tokens.slice(0, 10).join('')};
  const {events} = await read({id: 'a', completion, resume});
  t.is(resume.text + textOf(events), text);
  t.like(events[0], {index: 10});
  t.like(events.at(-1), {usage: {completionTokens: 30}});
});

test('frees the engine when the reader aborts or leaves', async t => {
  const {clock, engine, read} = create();
  const abort = new AbortController();
  clock.after(500, () => abort.abort());
  const {err} = await read(request('a', '[[slow]]'), abort.signal);
  t.is(err?.kind, 'lost');
  const stream = engine.generate(request('b', '[[slow]]'), NEVER);
  t.like(await clock.until(stream.next()), {value: {kind: 'token'}});
  await stream.return(undefined);
  await clock.advance(100);
  t.is(engine.model.state().running, 0);
  t.is(engine.runs('a').cut + engine.runs('b').cut, 2);
});

test('fails for good, after it has taken the request', async t => {
  const {engine, read} = create();
  const {events, err} = await read(request('a', '[[impossible]]'));
  t.deepEqual([events.length, err?.kind], [0, 'failed']);
  t.like(engine.runs('a'), {started: 1, failed: 1});
});

test('crashes with all its streams and comes back', async t => {
  const {clock, engine, start, read} = create({restartMs: 1000});
  const innocent = start(request('a', '[[slow]]'));
  await clock.advance(300);
  const second = await read(request('b', '[[crash]]'));
  const first = await innocent;
  t.deepEqual([first.err?.kind, second.err?.kind], ['lost', 'lost']);
  t.is((await read(request('c', 'hello'))).err?.kind, 'refused');
  await t.throwsAsync(engine.load(), {instanceOf: EngineError});
  await clock.advance(1000);
  t.is((await read(request('c', 'hello'))).err, undefined);
  t.is(engine.runs('c').started, 1);
});

test('refuses, breaks and hangs by its switches', async t => {
  const {clock, engine, read} = create();
  engine.setFaults({refuses: true});
  t.is((await read(request('a', 'hello'))).err?.kind, 'refused');
  t.is(engine.runs('a').started, 0);
  engine.setFaults({refuses: false, breaksAfterTokens: 5});
  const broken = await read(request('a', 'hello'));
  t.deepEqual([broken.events.length, broken.err?.kind], [5, 'lost']);
  engine.setFaults({breaksAfterTokens: Infinity, hangs: true});
  let heard = false;
  const abort = new AbortController();
  const silent = engine.generate(request('b', 'hello'), abort.signal).next();
  silent.then(
    () => (heard = true),
    () => {},
  );
  await clock.advance(60_000);
  t.false(heard);
  engine.setFaults({hangs: false});
  t.is((await read(request('c', 'hello'))).err, undefined);
  t.false(heard);
  abort.abort();
  await t.throwsAsync(silent, {instanceOf: EngineError});
});

test('serves versions and adapters as ordered, after loading', async t => {
  const {clock, engine, read} = create({
    served: {loadVersionMs: 1000, loadAdapterMs: 100},
  });
  const order = (token: number, action: Order['action']) =>
    engine.order({id: `o${token}`, fence: {token, holder: 'h'}, action});
  const model = 'review-llm';
  await order(1, {kind: 'load-version', model, version: 'v2'});
  const req = {...request('a', 'hello'), version: 'v2'};
  t.is((await read(req)).err?.kind, 'refused');
  await clock.advance(1000);
  t.is((await read(req)).err, undefined);
  await order(2, {kind: 'load-adapter', model, adapter: 'bank-a'});
  await clock.advance(100);
  const {versions} = await engine.load();
  t.deepEqual(versions.at(-1), {
    model,
    version: 'v2',
    adapters: ['bank-a'],
    state: 'ready',
  });
  await order(3, {kind: 'unload-version', model, version: 'v2'});
  t.is((await read(req)).err?.kind, 'refused');
});

test('checks fences, or ignores them', async t => {
  const fence = (token: number) => ({token, holder: 'h'});
  const action = {kind: 'set-role', role: 'prefill'} as const;
  for (const checksFence of [true, false]) {
    const {engine} = create({served: {checksFence}});
    await engine.order({id: 'new', fence: fence(2), action});
    const late = await engine.order({
      id: 'old',
      fence: fence(1),
      action: {kind: 'set-role', role: 'decode'},
    });
    t.is(late.kind, checksFence ? 'refused' : 'taken');
    t.is(engine.served.role, checksFence ? 'prefill' : 'decode');
  }
});

test('hands its cache to another engine', async t => {
  const prompt = 'x'.repeat(600);
  const {engine: from, read, clock} = create();
  await read(request('a', prompt));
  await clock.advance(2000);
  const [event] = (await from.cacheEvents(0)).filter(e => e.tokens === 128);
  const cache = await from.exportCache(event!.prefix);
  const to = create();
  await to.engine.importCache(cache);
  await to.clock.advance(100);
  await to.read(request('b', prompt));
  t.is(to.engine.model.exportCache(event!.prefix)?.blocks.length, 2);
  await t.throwsAsync(to.engine.importCache(new Uint8Array([1])), {
    instanceOf: EngineError,
  });
});
