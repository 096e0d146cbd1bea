import test from 'ava';
import {SYSTEM_CLOCK, type Clock} from '@oathead/core';
import {
  DEFAULT_STORE_CONNECTION,
  HttpPlatform,
  MemoryHosts,
  MemoryPlatform,
  MemoryWeights,
  type Host,
} from '@oathead/stores';
import {PlatformStandIn} from '../../lib/process/platform_stand_in.js';
import type {FaultRule} from '../../lib/process/store_faults.js';
import {VirtualClock} from '../../lib/process/virtual_clock.js';
import {DEMANDS} from './platform_conformance.js';

const HOSTS: readonly Host[] = [
  {
    id: 'h1',
    role: 'target',
    address: '10.0.0.1:80',
    dataCentre: 'hall-a',
    state: 'leaving',
  },
];
const WEIGHTS = [{name: 'w/1', bytes: 5}];
const LOADS = 3;
const PUT = {
  checks: [],
  writes: [{kind: 'put', key: 'a', value: {}}],
} as const;

async function createSetting(clock: Clock = SYSTEM_CLOCK) {
  const standIn = new PlatformStandIn({
    weights: WEIGHTS,
    concurrentLoads: LOADS,
    hosts: HOSTS,
  });
  await standIn.listen();
  const {url} = standIn.server;
  const platform = new HttpPlatform(clock, {baseUrls: [url]});
  return {
    standIn,
    platform,
    url,
    async end() {
      await standIn[Symbol.asyncDispose]();
      await platform[Symbol.asyncDispose]();
    },
  };
}

for (const [name, demand] of Object.entries(DEMANDS)) {
  test(`in memory: ${name}`, async t => {
    const weights = new MemoryWeights(WEIGHTS, LOADS);
    await demand(t, new MemoryPlatform(weights, new MemoryHosts(HOSTS)));
  });

  test(`over HTTP: ${name}`, async t => {
    const {platform, end} = await createSetting();
    await demand(t, platform);
    await end();
  });
}

test('over HTTP, each fault is told as what it is', async t => {
  const {standIn, platform, end} = await createSetting();
  const write = async (rule: FaultRule) => {
    const added = standIn.faults.add(rule);
    const result = await platform.table.write(PUT);
    added[Symbol.dispose]();
    return result.ok ? undefined : result.err;
  };
  const times = 1;
  t.like(await write({fault: {kind: 'down'}, times}), {applied: 'no'});
  t.like(await write({fault: {kind: 'answer-lost'}, times}), {
    applied: 'unknown',
  });
  t.like(await write({fault: {kind: 'request-lost'}, times}), {
    applied: 'unknown',
  });
  t.like(await write({fault: {kind: 'throttled', retryAfterMs: 5}, times}), {
    kind: 'throttled',
    retryAfterMs: 5,
  });
  await standIn[Symbol.asyncDispose]();
  t.like(await write({fault: {kind: 'slow', delayMs: 0}}), {applied: 'no'});
  await end();
  t.like(await write({fault: {kind: 'slow', delayMs: 0}}), {applied: 'no'});
});

// A user sees a service that never recovers after a switch was replaced. The
// connections to the store were open at the time and have been silent since;
// new ones would work, but the pool kept handing out the old ones.
test('gives up connections that have gone silent', async t => {
  const clock = new VirtualClock();
  const {standIn, platform, end} = await createSetting(clock);
  await Promise.all([...Array(4)].map(() => platform.table.read(['a'])));
  standIn.server.silenceConnections();
  const lost = platform.table.write(PUT);
  await clock.advance(DEFAULT_STORE_CONNECTION.timeoutMs);
  t.like(await lost, {err: {kind: 'unavailable', applied: 'unknown'}});
  t.true((await platform.table.write(PUT)).ok);
  await end();
});

test('takes the next base URL when one does not answer', async t => {
  const gone = await createSetting();
  const {url, end} = await createSetting();
  await gone.end();
  const baseUrls = [gone.url, url];
  const platform = new HttpPlatform(SYSTEM_CLOCK, {baseUrls});
  t.like(await platform.table.read(['a']), {err: {kind: 'unavailable'}});
  t.true((await platform.table.read(['a'])).ok);
  await end();
  await platform[Symbol.asyncDispose]();
});

test('is switched and counted over HTTP', async t => {
  const {platform, url, end} = await createSetting();
  const rules = [{fault: {kind: 'down'}, store: 'table', keyPrefix: 'a'}];
  const headers = {'content-type': 'application/json'};
  const post = (body: object) =>
    fetch(`${url}/v1/admin/faults`, {
      method: 'POST',
      headers,
      body: JSON.stringify(body),
    });
  t.is((await post({rules})).status, 200);
  t.is((await post({rules: [{fault: {kind: 'magic'}}]})).status, 400);
  t.false((await platform.table.write(PUT)).ok);
  t.true((await platform.table.read(['b'])).ok);
  const counts = await fetch(`${url}/v1/admin/counts`);
  t.like(await counts.json(), {writes: 1, reads: 1});
  await end();
});
