/** Two entries and four targets as the project's own binaries, on loopback. */
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {DisposableStore, sleep} from '@oathead/core';
import {request} from 'undici';
import {KEEPING_CLOCK} from '../slopes/measured_fleet.js';
import {BINARIES, Binary} from './binary.js';

/** Key of the operator and only caller. */
export const FLEET_KEY = 'bench-load-key';
/** The model that the fleet serves. */
export const FLEET_MODEL = 'review-llm';

const HOST = '127.0.0.1';
const ENTRIES = 2;
const TARGETS = 4;
const CHECK_MS = 20;
const CHECKS = 1_500;

/** A running fleet of processes. */
export interface ProcessFleet extends AsyncDisposable {
  readonly entries: readonly Binary[];
  readonly targets: readonly Binary[];
  readonly entryUrls: readonly string[];
  readonly engineUrls: readonly string[];
  /** From the start of each process until it is ready, in milliseconds. */
  readonly entryStartMs: readonly number[];
  readonly targetStartMs: readonly number[];
}

/**
 * @param nodeArgs - Arguments of Node for entries and targets.
 * @returns The fleet, once every entry serves.
 */
export async function startProcessFleet(
  nodeArgs: readonly string[] = [],
): Promise<ProcessFleet> {
  const held = new DisposableStore();
  const folder = mkdtempSync(join(tmpdir(), 'oathead-bench-'));
  held.defer(() => rmSync(folder, {recursive: true}));
  const standIn = async (args: readonly string[]) => {
    const child = held.add(new Binary(BINARIES.standIns, args));
    return `http://${HOST}:${await child.port()}`;
  };
  const platformUrl = await standIn(['platform']);
  const engineUrls = await Promise.all(
    many(TARGETS, () => standIn(['engine', '--serves', `${FLEET_MODEL}@v1`])),
  );
  const config = (name: string, settings: object) => {
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return file;
  };
  const targets: Binary[] = [];
  const targetStartMs: number[] = [];
  const addresses: string[] = [];
  for (const [i, url] of engineUrls.entries()) {
    const [wire, http] = [await freePort(), await freePort()];
    const file = config(`target-${i}`, {
      targetId: `target-${i}`,
      dataCentre: 'hall-a',
      listen: {host: HOST, port: wire},
      http: {host: HOST, port: http},
      engine: {url, fenceCheck: 'fenced'},
    });
    const startedAt = performance.now();
    targets.push(
      held.add(new Binary(BINARIES.target, ['--config', file], nodeArgs)),
    );
    await answers(`http://${HOST}:${http}/metrics`);
    targetStartMs.push(performance.now() - startedAt);
    addresses.push(`${HOST}:${wire}`);
  }
  const entries: Binary[] = [];
  const entryStartMs: number[] = [];
  const entryUrls: string[] = [];
  for (let i = 0; i < ENTRIES; i++) {
    const file = config(`entry-${i}`, {
      entryId: `entry-${i}`,
      dataCentre: 'hall-a',
      listen: {port: 0},
      peers: {port: 0},
      platform: {kind: 'http', url: platformUrl},
      operatorKeyHashes: [sha256(FLEET_KEY)],
    });
    const startedAt = performance.now();
    const args = ['entry', '--config', file];
    const entry = held.add(new Binary(BINARIES.oathead, args, nodeArgs));
    entries.push(entry);
    entryUrls.push(`http://${HOST}:${await entry.port()}`);
    await answers(`${entryUrls[i]}/readyz`);
    entryStartMs.push(performance.now() - startedAt);
  }
  await declare(entryUrls[0]!, addresses);
  for (const url of entryUrls) await serves(url);
  return {
    entries,
    targets,
    entryUrls,
    engineUrls,
    entryStartMs,
    targetStartMs,
    [Symbol.asyncDispose]: async () => {
      // Processes write their profiles when they are asked to stop.
      await Promise.all([...entries, ...targets].map(child => child.stop()));
      held[Symbol.dispose]();
    },
  };
}

async function declare(
  url: string,
  addresses: readonly string[],
): Promise<void> {
  await put(url, 'models', FLEET_MODEL, {type: 'model'});
  for (const [i, address] of addresses.entries()) {
    await put(url, 'targets', `target-${i}`, {
      pools: [FLEET_MODEL],
      address,
      dataCentre: 'hall-a',
      fenceCheck: 'fenced',
    });
  }
}

async function put(
  url: string,
  kind: string,
  name: string,
  spec: object,
): Promise<void> {
  const path = `${url}/v1/resources/${kind}/${name}`;
  const status = await statusOf('PUT', path, {spec});
  if (status >= 300) throw new Error(`${kind}/${name}: status ${status}`);
}

function answers(url: string): Promise<void> {
  return until(async () => (await statusOf('GET', url)) === 200);
}

function serves(url: string): Promise<void> {
  const body = {model: FLEET_MODEL, prompt: '[[slow]]', max_tokens: 1};
  return until(
    async () => (await statusOf('POST', `${url}/v1/completions`, body)) === 200,
  );
}

async function statusOf(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  json?: object,
): Promise<number> {
  try {
    const res = await request(url, {
      method,
      headers: {
        authorization: `Bearer ${FLEET_KEY}`,
        'content-type': 'application/json',
      },
      ...(json === undefined ? {} : {body: JSON.stringify(json)}),
    });
    await res.body.dump();
    return res.statusCode;
  } catch {
    return 0;
  }
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < CHECKS; i++) {
    if (await condition()) return;
    await sleep(KEEPING_CLOCK, CHECK_MS);
  }
  throw new Error('the fleet is not ready in time');
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

function many<T>(count: number, make: () => T): T[] {
  return Array.from({length: count}, make);
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
