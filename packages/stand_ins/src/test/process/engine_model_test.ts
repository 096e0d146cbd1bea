import test from 'ava';
import {EngineModel} from '../../lib/process/engine_model.js';
import type {ModelEvent} from '../../lib/process/engine_events.js';
import type {EngineModelOptions} from '../../lib/process/engine_options.js';

const PLAIN = {
  stepMs: 20,
  stepMsPerSequence: 0.5,
  prefillTokensPerSecond: 10_000,
  prefillTokensPerStep: 100,
  cacheBlockTokens: 10,
  cacheEventLoss: 0,
};

function create(options: Partial<EngineModelOptions> = {}): EngineModel {
  return new EngineModel({...PLAIN, ...options});
}

function drain(model: EngineModel): readonly ModelEvent[] {
  const events: ModelEvent[] = [];
  for (let at = model.nextStepAt(); at !== undefined; at = model.nextStepAt())
    events.push(...model.advance(at));
  return events;
}

function timesOf(events: readonly ModelEvent[], kind: string): number[] {
  return events.filter(e => e.kind === kind).map(e => e.at);
}

test('prefills in chunks, then gains one token a step', t => {
  const model = create();
  t.true(model.submit({id: 'a', promptTokens: 150, outputTokens: 3}, 0));
  const events = drain(model);
  // Steps of 100 and 50 prompt tokens, then two of decoding alone.
  t.deepEqual(timesOf(events, 'token'), [56, 76.5, 97]);
  t.deepEqual(timesOf(events, 'done'), [97]);
  t.is(model.state().kvTokensUsed, 0);
});

test('steps grow with the batch, and a long prompt slows its neighbours', t => {
  const model = create();
  model.submit({id: 'a', promptTokens: 1, outputTokens: 100}, 0);
  model.advance(1000);
  const alone = model.state().stepMs;
  model.submit({id: 'long', promptTokens: 1000, outputTokens: 2}, 1000);
  model.advance(1050);
  t.is(alone, 20.5);
  t.is(model.state().stepMs, 31);
});

test('admits in order of arrival when there is room', t => {
  const model = create({maxSequences: 1});
  model.submit({id: 'a', promptTokens: 10, outputTokens: 2}, 0);
  model.submit({id: 'b', promptTokens: 10, outputTokens: 1}, 1);
  model.submit({id: 'c', promptTokens: 10, outputTokens: 1}, 2);
  const admitted = drain(model).filter(e => e.kind === 'admitted');
  t.deepEqual(
    admitted.map(e => e.id),
    ['a', 'b', 'c'],
  );
});

test('evicts the newest when KV memory runs out, and finishes all', t => {
  const model = create({kvTokens: 100});
  t.false(model.submit({id: 'x', promptTokens: 90, outputTokens: 11}, 0));
  model.submit({id: 'a', promptTokens: 40, outputTokens: 40}, 0);
  model.submit({id: 'b', promptTokens: 40, outputTokens: 40}, 0);
  const events = drain(model);
  t.true(events.some(e => e.kind === 'evicted' && e.id === 'b'));
  t.is(timesOf(events, 'done').length, 2);
  for (const id of ['a', 'b']) {
    const indices = events.flatMap(e =>
      e.kind === 'token' && e.id === id ? [e.index] : [],
    );
    t.deepEqual(indices, [...Array(40).keys()]);
  }
});

test('an evicted request is the first to be admitted again', t => {
  const model = create({kvTokens: 100});
  for (const id of ['a', 'b'])
    model.submit({id, promptTokens: 40, outputTokens: 40}, 0);
  model.submit({id: 'c', promptTokens: 40, outputTokens: 5}, 0);
  const admitted = drain(model).filter(e => e.kind === 'admitted');
  t.deepEqual(
    admitted.map(e => e.id),
    ['a', 'b', 'b', 'c'],
  );
});

test('cancels between steps and resumes cheaply from its cache', t => {
  const model = create();
  model.submit({id: 'a', promptTokens: 80, outputTokens: 50}, 0);
  model.advance(500);
  model.cancel('a', 500);
  const end = drain(model).at(-1)!;
  t.is(end.kind, 'cancelled');
  t.true(end.at > 500 && end.at < 530);
  const resumedTokens = 20;
  model.submit(
    {
      id: 'a2',
      cacheKey: 'a',
      promptTokens: 80,
      outputTokens: 50,
      resumedTokens,
    },
    1000,
  );
  const events = drain(model);
  t.like(events[0], {kind: 'admitted', cachedTokens: 99});
  t.like(events[1], {kind: 'token', index: resumedTokens});
});

test('forgets the least recent prefix and keeps beginnings longest', t => {
  const model = create({prefixCacheTokens: 30});
  const blocks = ['p', 'q', 'r'];
  model.submit({id: 'a', promptTokens: 30, blocks, outputTokens: 1}, 0);
  drain(model);
  model.submit(
    {id: 'b', promptTokens: 10, blocks: ['z'], outputTokens: 1},
    100,
  );
  drain(model);
  model.submit({id: 'c', promptTokens: 30, blocks, outputTokens: 1}, 200);
  t.like(drain(model)[0], {kind: 'admitted', cachedTokens: 20});
});

test('copies a prefix to another engine, which takes time', t => {
  const from = create();
  const to = create({importTokensPerSecond: 1000});
  const blocks = ['p', 'q'];
  from.submit({id: 'a', promptTokens: 20, blocks, outputTokens: 1}, 0);
  drain(from);
  t.is(from.exportCache('unknown'), undefined);
  to.importCache(from.exportCache('q')!, 0);
  to.submit({id: 'early', promptTokens: 25, blocks, outputTokens: 1}, 0);
  t.like(drain(to)[0], {cachedTokens: 0});
  const other = create({importTokensPerSecond: 1000});
  other.importCache(from.exportCache('q')!, 0);
  other.submit({id: 'late', promptTokens: 25, blocks, outputTokens: 1}, 20);
  t.like(drain(other)[0], {cachedTokens: 20});
});

test('reports its load late', t => {
  const model = create({loadIntervalMs: 100, loadLagMs: 200});
  model.submit({id: 'a', promptTokens: 10, outputTokens: 1000}, 50);
  t.like(model.load(250), {running: 0, ageMs: 250});
  t.like(model.load(330), {running: 1, ageMs: 230});
});

test('publishes cache events late and with gaps', t => {
  const model = create({cacheEventLagMs: 1000, cacheEventLoss: 0.2});
  const blocks = [...Array(100).keys()].map(i => `b${i}`);
  model.submit({id: 'a', promptTokens: 1000, blocks, outputTokens: 1}, 0);
  drain(model);
  t.deepEqual(model.cacheEvents(0, 400), []);
  const events = model.cacheEvents(0, 2000);
  t.true(events.length > 60 && events.length < 100);
  const last = events.at(-1)!.sequence;
  t.deepEqual(model.cacheEvents(last, 2000), []);
});

test('loses everything on a reset and goes on', t => {
  const model = create();
  model.submit({id: 'a', promptTokens: 10, outputTokens: 100}, 0);
  model.reset(50);
  t.is(model.nextStepAt(), undefined);
  model.submit({id: 'a', promptTokens: 10, outputTokens: 1}, 60);
  t.is(timesOf(drain(model), 'done').length, 1);
});
