import {randomUUID} from 'node:crypto';
import {request} from 'undici';
import test from 'ava';
import {NO_COUNTERS, type EventFields} from '@oathead/core';
import {
  FrontServer,
  type RoutedRequest,
} from '../../lib/process/front_server.js';
import {CrashSuspects} from '../../lib/process/crash_suspects.js';
import {quotaKey} from '../../lib/request/quota_demand.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {PROTOCOL} from '../fakes/raw_target.js';

const IP = '127.0.0.1';
const PORT = 20_000 + (parseInt(randomUUID().slice(0, 4), 16) % 10_000);

// Guards against a process that ends, with all requests on it, because handling
// one request throws.
test('a request whose handling throws gets status 500 and is logged', async t => {
  const lines: EventFields[] = [];
  const context = {
    online: {
      clock: new FakeClock(),
      protocol: PROTOCOL,
      admission: {admit: () => ({kind: 'admitted', account: undefined})},
    },
    routing: {
      current: {match: () => undefined, table: {bounds: {maxBodyBytes: 100}}},
      onAdopted: () => {},
    },
    batch: {
      overridesRoute: () => false,
      accepts: () => true,
      handle: async ({req, res}: RoutedRequest) => {
        if (req.url === '/after') res.writeHead(200).write('part');
        throw new Error('unexpected');
      },
    },
    log: {
      event: (event: string, fields: EventFields) =>
        lines.push({event, ...fields}),
    },
    plannedStop: () => undefined,
  };
  const front = new FrontServer(context as never);
  await front.server.listen(IP, PORT);
  t.teardown(() => front.server.close());
  const origin = `http://${IP}:${PORT}`;
  const {statusCode, headers} = await request(`${origin}/before`);
  t.is(statusCode, 500);
  t.is(headers['x-not-run'], undefined);
  await t.throwsAsync(async () => {
    const {body} = await request(`${origin}/after`);
    await body.text();
  });
  t.deepEqual(
    lines.map(({event, path}) => [event, path]),
    [
      ['request-handling-failed', '/before'],
      ['request-handling-failed', '/after'],
    ],
  );
  t.true(String(lines[0]!['error']).includes('unexpected'));
});

// A caller that is refused for its quota returns at the time it is told; without
// the true one it comes in vain.
test('a refusal by quota carries the time of the quota owner', async t => {
  const demands: unknown[] = [];
  const lines: EventFields[] = [];
  const metadata = {...PROTOCOL.readRequest({}), deadlineMs: 3000};
  const context = {
    online: {
      protocol: {
        ...PROTOCOL,
        readRequest: () => metadata,
        retryAfter: (ms: number) => ({'retry-after': String(ms / 1000)}),
        maxRetryAfterMs: () => 1000,
      },
      clock: new FakeClock(),
      counters: NO_COUNTERS,
      retryDetector: {isRetry: () => true},
      admission: {
        admit: () => ({kind: 'admitted', account: {name: 'account'}}),
        takeQuota: async (account: unknown, demand: unknown) => {
          demands.push(account, demand);
          return {kind: 'over', waitMs: 800, isReserved: true};
        },
      },
    },
    routing: {
      current: {
        match: () => ({name: 'route', timeoutMs: 5000}),
        table: {bounds: {maxBodyBytes: 100}},
      },
      onAdopted: () => {},
    },
    batch: {overridesRoute: () => false, accepts: () => false},
    log: {
      event: (event: string, fields: EventFields) =>
        lines.push({event, ...fields}),
    },
    plannedStop: () => undefined,
  };
  const front = new FrontServer(context as never);
  await front.server.listen(IP, PORT + 1);
  t.teardown(() => front.server.close());
  const {statusCode, headers} = await request(`http://${IP}:${PORT + 1}/`);
  t.is(statusCode, 429);
  t.is(headers['retry-after'], '0.8');
  const key = quotaKey(CrashSuspects.fingerprintOf('/', Buffer.alloc(0)));
  t.deepEqual(demands[1], {returning: true, key, maxWaitMs: 1000});
  t.like(lines[0], {event: 'request-refused', isReserved: true});
});
