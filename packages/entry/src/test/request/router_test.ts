import test from 'ava';
import fc from 'fast-check';
import {NO_COUNTERS} from '@oathead/core';
import {jsonResponse} from '../../lib/request/api.js';
import type {ApiRequest} from '../../lib/request/api.js';
import {Router, matchPath} from '../../lib/request/router.js';

const SIGNAL = new AbortController().signal;

const ROUTER = new Router(
  [
    {
      method: 'GET',
      path: '/v1/jobs/{id}',
      access: 'caller',
      handle: async ({params, identity}) =>
        jsonResponse({id: params['id'], caller: identity.name}),
    },
    {
      method: 'GET',
      path: '/v1/status',
      access: 'operator',
      handle: async () => jsonResponse({}),
    },
  ],
  {
    identify: key =>
      key === 'Bearer bank' ? {name: 'bank-a', role: 'caller'} : undefined,
  },
  NO_COUNTERS,
);

function get(path: string, key?: string): ApiRequest {
  const headers: Record<string, string> = {};
  if (key !== undefined) headers['authorization'] = `Bearer ${key}`;
  return {method: 'GET', path, query: {}, headers, body: '', signal: SIGNAL};
}

test('gives a route its parameters and its caller', async t => {
  const res = await ROUTER.handle(get('/v1/jobs/a%20b', 'bank'));
  t.deepEqual(JSON.parse(res.body as string), {id: 'a b', caller: 'bank-a'});
});

test('refuses who is not known, before telling what exists', async t => {
  t.is((await ROUTER.handle(get('/v1/jobs/a'))).status, 401);
  t.is((await ROUTER.handle(get('/nothing', 'else'))).status, 401);
});

test("refuses a caller on an operator's route", async t => {
  const res = await ROUTER.handle(get('/v1/status', 'bank'));
  t.is(res.status, 403);
  t.is(res.headers['oathead-ran'], 'not-run');
});

test('answers any path with a typed answer', async t => {
  await fc.assert(
    fc.asyncProperty(fc.webPath(), async path => {
      const res = await ROUTER.handle(get(path, 'bank'));
      return [200, 403, 404].includes(res.status);
    }),
  );
  t.pass();
});

test('matches the rest of a path, and no empty segment', t => {
  t.deepEqual(matchPath('/a/{b}/{c*}', '/a/1/2/3'), {b: '1', c: '2/3'});
  t.is(matchPath('/a/{b}', '/a/'), undefined);
  t.is(matchPath('/a/{b}', '/a/%zz'), undefined);
  t.is(matchPath('/a', '/a/b'), undefined);
});
