import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {NO_COUNTERS, SYSTEM_CLOCK} from '@oathead/core';
import {fetch} from 'undici';
import {EntryStop} from '../../lib/process/entry_stop.js';
import {apiListener} from '../../lib/process/http_server.js';
import {jsonResponse} from '../../lib/request/api.js';
import {Router} from '../../lib/request/router.js';
import type {Route} from '../../lib/request/router.js';

const LIMITS = {
  maxBodyBytes: 64,
  maxHeaderBytes: 16_384,
  requestTimeoutMs: 60_000,
  maxConcurrent: 100,
};
const GRACE_MS = 60_000;
const PART = 'a'.repeat(1_000_000);
const KEY = {authorization: 'Bearer any'};

function route(path: string, handle: Route['handle']): Route {
  return {method: 'POST', path, access: 'caller', handle};
}

async function serve(
  t: ExecutionContext,
  ...routes: readonly Route[]
): Promise<string> {
  return serveUntil(new EntryStop(SYSTEM_CLOCK, NO_COUNTERS), t, routes);
}

async function serveUntil(
  stop: EntryStop,
  t: ExecutionContext,
  routes: readonly Route[],
): Promise<string> {
  const authenticator = {
    identify: (key?: string) =>
      key === undefined ? undefined : ({name: 'a', role: 'caller'} as const),
  };
  const router = new Router(routes, authenticator, NO_COUNTERS);
  const server: Server = createServer(
    apiListener({
      router,
      limits: LIMITS,
      open: {},
      counters: NO_COUNTERS,
      clock: SYSTEM_CLOCK,
      stop,
    }),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const post = (
  url: string,
  body: string,
  headers: Record<string, string> = KEY,
) => fetch(url, {method: 'POST', headers, body});

test('a body over the limit is refused as too large, not run', async t => {
  const url = await serve(
    t,
    route('/x', async () => jsonResponse({})),
  );
  const res = await post(`${url}/x`, 'a'.repeat(65));
  t.is(res.status, 413);
  const {error} = (await res.json()) as {error: {kind: string; ran: string}};
  t.deepEqual([error.kind, error.ran], ['too-large', 'not-run']);
});

test('an unknown key is refused before the body is read', async t => {
  const url = await serve(t);
  const res = await post(`${url}/x`, 'a'.repeat(65), {});
  t.is(res.status, 401);
});

// A handler breaks in mid-stream. A caller must not take the half answer for a
// whole one: the connection is cut, so that its client sees an error.
test('a stream that breaks does not look finished', async t => {
  const url = await serve(
    t,
    route('/x', async () => ({
      status: 200,
      headers: {},
      body: (async function* () {
        yield 'half';
        throw new Error('broken');
      })(),
    })),
  );
  const res = await post(`${url}/x`, '');
  await t.throwsAsync(res.text());
});

test('a handler that fails gives a typed error', async t => {
  const url = await serve(
    t,
    route('/x', async () => {
      throw new Error('broken');
    }),
  );
  const res = await post(`${url}/x`, '');
  t.is(res.status, 500);
  t.is(res.headers.get('oathead-ran'), 'may-have-run');
});

test('a caller that goes away is noticed', async t => {
  const stop = new AbortController();
  const noticed = new Promise<void>(resolve => {
    void serve(
      t,
      route('/x', ({signal}) => {
        signal.addEventListener('abort', () => resolve());
        stop.abort();
        return new Promise(() => {});
      }),
    ).then(url => {
      const init = {method: 'POST', headers: KEY, signal: stop.signal};
      fetch(`${url}/x`, init).catch(() => {});
    });
  });
  await noticed;
  t.pass();
});

// A caller of a stopping entry is still sending when it is refused. A connection
// that is closed with unread data is reset, and the refusal is lost with it.
test('a refusal by a stop reaches a caller that is still sending', async t => {
  const stop = new EntryStop(SYSTEM_CLOCK, NO_COUNTERS);
  const url = await serveUntil(stop, t, [
    route('/x', async () => jsonResponse({})),
  ]);
  stop.begin(GRACE_MS);
  const caller = connect(Number(new URL(url).port), '127.0.0.1');
  caller.write(
    'POST /x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer any\r\n' +
      `content-length: ${2 * PART.length}\r\n\r\n${PART}`,
  );
  const [answer] = (await once(caller, 'data')) as [Buffer];
  t.regex(String(answer), /^HTTP\/1\.1 503 [^]*connection: close/i);
  t.true(String(answer).includes('"ran":"not-run"'));
  caller.write(PART);
  t.deepEqual(await once(caller.resume(), 'close'), [false]);
});

// A handler waits for the store, which is away, until the process ends: its caller
// gets no answer and doesn't know whether its change was made.
test('a handler that is not done when a stop ends is answered for', async t => {
  const stop = new EntryStop(SYSTEM_CLOCK, NO_COUNTERS);
  let begin = () => {};
  const begun = new Promise<void>(resolve => (begin = resolve));
  const waits = () => {
    begin();
    return new Promise<never>(() => {});
  };
  const url = await serveUntil(stop, t, [route('/x', waits)]);
  const answer = post(`${url}/x`, '');
  await begun;
  stop.begin(100);
  const {status, headers} = await answer;
  t.is(status, 503);
  t.is(headers.get('oathead-ran'), 'may-have-run');
  t.is(headers.get('connection'), 'close');
});
