/** Entries, target processes and a platform in one process, on loopback. */
import {createHash} from 'node:crypto';
import {SYSTEM_CLOCK, sleep} from '@oathead/core';
import {ENTRY_SETTINGS, runEntry} from '@oathead/entry';
import type {RunningEntry} from '@oathead/entry';
import {MemoryPlatform} from '@oathead/stores';
import {request} from 'undici';
import {startLocalTarget} from './local_target.js';
import type {LocalTarget} from './local_target.js';

/** How a local fleet is set up. */
export interface LocalFleetOptions {
  readonly entries: number;
  readonly modelTargets: number;
  readonly serviceTargets: number;
  /** Port of the first entry; any free one where absent. */
  readonly port?: number;
}

/** Keys of the operator and of one caller. */
export const DEMO_KEYS = {
  operator: 'demo-operator-key',
  caller: 'demo-caller-key',
} as const;

/** Model and service that the fleet serves. */
export const DEMO_POOLS = {
  model: 'review-llm',
  service: 'limit-api',
} as const;

const DATA_CENTRES = ['hall-a', 'hall-b'] as const;
const READY_CHECK_MS = 50;
const READY_CHECKS = 200;

/** A running fleet. */
export interface LocalFleet {
  readonly entries: readonly RunningEntry[];
  readonly targets: readonly LocalTarget[];
  /** Base addresses of the entries' API. */
  readonly urls: readonly string[];
  /** Stops all as planned. */
  stop(): Promise<void>;
}

/**
 * Starts a fleet and declares what it serves.
 *
 * @param options - How many of each.
 * @returns The fleet, once every entry serves every pool.
 */
export async function startLocalFleet(
  options: LocalFleetOptions,
): Promise<LocalFleet> {
  const platform = new MemoryPlatform();
  const targets = await startTargets(options);
  const entries: RunningEntry[] = [];
  for (let i = 0; i < options.entries; i++) {
    const port = i === 0 ? (options.port ?? 0) : 0;
    const settings = entrySettings(i, port);
    entries.push(await runEntry(settings, platform));
  }
  const urls = entries.map(({port}) => `http://127.0.0.1:${port}`);
  await until(async () => entries.every(({entry}) => entry.ready));
  await declare(urls[0]!, targets);
  await until(async () =>
    entries.every(({entry}) =>
      Object.values(DEMO_POOLS).every(p => entry.serves(p)),
    ),
  );
  return {
    entries,
    targets: targets.map(({target}) => target),
    urls,
    stop: async () => {
      await Promise.all(entries.map(entry => entry.stop()));
      await Promise.all(targets.map(({target}) => target.stop()));
    },
  };
}

interface NamedTarget {
  readonly name: string;
  readonly pool: string;
  readonly target: LocalTarget;
}

async function startTargets(
  options: LocalFleetOptions,
): Promise<readonly NamedTarget[]> {
  const {modelTargets, serviceTargets} = options;
  const targets: NamedTarget[] = [];
  for (let i = 0; i < modelTargets + serviceTargets; i++) {
    const isModel = i < modelTargets;
    const pool = isModel ? DEMO_POOLS.model : DEMO_POOLS.service;
    const name = `${pool}-${isModel ? i : i - modelTargets}`;
    const target = await startLocalTarget({
      targetId: name,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      seed: i + 1,
      ...(isModel ? {models: [{model: pool, version: 'v1'}]} : {service: pool}),
    });
    targets.push({name, pool, target});
  }
  return targets;
}

function entrySettings(index: number, port: number) {
  return ENTRY_SETTINGS.parse({
    entryId: `entry-${index}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    listen: {port},
    peers: {port: 0},
    platform: {kind: 'memory'},
    operatorKeyHashes: [sha256(DEMO_KEYS.operator)],
    answers: {flushMs: 200},
    graceMs: 5000,
  });
}

/** Declares models, targets and a caller, as an operator would. */
async function declare(
  url: string,
  targets: readonly NamedTarget[],
): Promise<void> {
  await put(url, 'models', DEMO_POOLS.model, {type: 'model'});
  await put(url, 'versions', 'v1', {
    model: DEMO_POOLS.model,
    weights: 'review-llm-v1',
  });
  await put(url, 'models', DEMO_POOLS.model, {type: 'model', version: 'v1'});
  await put(url, 'models', DEMO_POOLS.service, {type: 'service'});
  for (const [index, {name, pool, target}] of targets.entries()) {
    await put(url, 'targets', name, {
      pools: [pool],
      address: target.address,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
      fenceCheck: 'unfenced',
    });
  }
  await put(url, 'callers', 'branch', {
    role: 'caller',
    keyHashes: [sha256(DEMO_KEYS.caller)],
  });
}

async function put(
  url: string,
  kind: string,
  name: string,
  spec: object,
): Promise<void> {
  const res = await request(`${url}/v1/resources/${kind}/${name}`, {
    method: 'PUT',
    headers: {
      authorization: `Bearer ${DEMO_KEYS.operator}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({spec}),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`${kind}/${name}: ${text}`);
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < READY_CHECKS; i++) {
    if (await condition()) return;
    await sleep(SYSTEM_CLOCK, READY_CHECK_MS);
  }
  throw new Error('the local fleet is not ready in time');
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
