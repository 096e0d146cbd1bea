import test from 'ava';
import fc from 'fast-check';
import {Watch} from '../../lib/connection/watch.js';
import {StatusBoard} from '../../lib/process/status_board.js';
import {ResourceApi} from '../../lib/request/resource_api.js';
import type {ResourceRequest} from '../../lib/request/resource_request.js';
import {configFleet} from '../fakes/config_fleet.js';

async function setUp() {
  const fleet = configFleet();
  const {cache} = fleet.newCache();
  await cache.start();
  const api = new ResourceApi({
    store: fleet.store,
    cache,
    watch: new Watch(cache, fleet.clock),
    board: new StatusBoard(fleet.clock, cache),
  });
  const {signal} = new AbortController();
  const ask = (req: ResourceRequest) => api.handle(req, signal);
  return {...fleet, ask};
}

const MODEL = {kind: 'models', name: 'm'} as const;

test('declares, reads, lists and deletes', async t => {
  const {ask} = await setUp();
  const put = {method: 'PUT', ...MODEL, body: {spec: {maxOnline: 2}}};
  t.like(await ask({...put, ifNoneMatch: '*'}), {
    kind: 'answer',
    headers: {etag: '"1"'},
    body: {resourceVersion: 1, spec: {maxOnline: 2}},
  });
  t.like(await ask({method: 'GET', ...MODEL}), {body: {resourceVersion: 1}});
  t.like(await ask({method: 'GET', kind: 'models'}), {
    body: {revision: 1, resources: [{name: 'm'}]},
  });
  t.like(await ask({method: 'GET', kind: 'targets'}), {body: {resources: []}});
  t.like(await ask({method: 'DELETE', ...MODEL, ifMatch: '"1"'}), {
    kind: 'answer',
  });
  t.like(await ask({method: 'GET', ...MODEL}), {refusal: {kind: 'not-found'}});
});

test('what was read can be changed and sent back, unless it is outdated', async t => {
  const {ask} = await setUp();
  await ask({method: 'PUT', ...MODEL, body: {spec: {}}});
  const read = await ask({method: 'GET', ...MODEL});
  if (read.kind !== 'answer') return t.fail();
  const send = () => ask({method: 'PUT', ...MODEL, body: read.body});
  t.like(await send(), {kind: 'answer'});
  await ask({method: 'PUT', ...MODEL, body: {spec: {maxOnline: 3}}});
  t.like(await send(), {
    refusal: {kind: 'revision-conflict', currentVersion: 2},
  });
});

test('refuses what is malformed, with paths', async t => {
  const {ask} = await setUp();
  const put = {method: 'PUT', ...MODEL, body: {spec: {}}};
  t.like(await ask({...put, kind: 'modles'}), {refusal: {kind: 'not-found'}});
  t.like(await ask({...put, ifMatch: 'x'}), {
    refusal: {problems: [{path: 'If-Match'}]},
  });
  t.like(await ask({...put, ifNoneMatch: '"1"'}), {
    refusal: {problems: [{path: 'If-None-Match'}]},
  });
  t.like(await ask({...put, changeId: 'a b'}), {
    refusal: {problems: [{path: 'Idempotency-Key'}]},
  });
  t.like(await ask({...put, body: {name: 'n', spec: {}}}), {
    refusal: {problems: [{path: 'name'}]},
  });
  t.like(await ask({...put, name: 'M!', body: {spec: {maxOnline: 0}}}), {
    refusal: {problems: [{path: 'name'}, {path: 'spec.maxOnline'}]},
  });
  t.like(await ask({method: 'GET', watch: true, since: '-1'}), {
    refusal: {problems: [{path: 'since'}]},
  });
  t.like(await ask({method: 'PUT', body: {spec: {}}}), {
    refusal: {kind: 'not-found'},
  });
});

test('reads go on while the store is down, marked as stale', async t => {
  const {ask, goDown} = await setUp();
  await ask({method: 'PUT', ...MODEL, body: {spec: {}}});
  await ask({method: 'GET', ...MODEL});
  goDown();
  t.like(await ask({method: 'GET', ...MODEL}), {
    headers: {'oathead-stale': 'true'},
    body: {resourceVersion: 1},
  });
});

test('any input gets an answer or a typed refusal, never an exception', async t => {
  const {ask} = await setUp();
  const text = fc.option(fc.oneof(fc.string(), fc.constant('m')), {
    nil: undefined,
  });
  const kind = fc.constantFrom(
    ...['models', 'versions', 'targets', 'callers', '__proto__', 'x'],
  );
  const spec = fc.oneof(fc.dictionary(fc.string(), fc.jsonValue()));
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        method: fc.constantFrom('GET', 'PUT', 'DELETE', 'POST'),
        kind,
        name: text,
        ifMatch: text,
        since: text,
        changeId: text,
        body: fc.oneof(fc.jsonValue(), fc.record({spec})),
      }),
      async req => {
        const res = await ask(req as ResourceRequest);
        t.true(['answer', 'refused'].includes(res.kind));
      },
    ),
    {seed: 7, numRuns: 300},
  );
});
