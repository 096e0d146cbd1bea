/** Writes a large configuration and membership straight into a table. */
import {encodeResource, resourceKey} from '@oathead/config';
import type {Resource} from '@oathead/core';
import {HEAD_KEY, HEAD_ROW} from '@oathead/membership';
import type {TableStore} from '@oathead/stores';
import {BENCH_MODEL} from './virtual_fleet.js';

const ROWS_PER_WRITE = 1_000;

/** How much is declared. */
export interface DeclaredSizes {
  readonly callers: number;
  readonly limits: number;
  readonly targets: number;
}

/**
 * Declares what an operator would have, without a transaction for each.
 *
 * @param table - An empty table.
 * @param sizes - How much.
 */
export async function declareRows(
  table: TableStore,
  sizes: DeclaredSizes,
): Promise<void> {
  const resources = [
    resource('models', BENCH_MODEL, MODEL_SPEC),
    ...many(sizes.callers, i => caller(i)),
    ...many(sizes.limits, i => limit(i)),
    ...many(sizes.targets, i => target(i)),
  ];
  for (let i = 0; i < resources.length; i += ROWS_PER_WRITE) {
    await table.write({
      checks: [],
      writes: resources.slice(i, i + ROWS_PER_WRITE).map(res => ({
        kind: 'put',
        key: resourceKey(res.kind, res.name),
        value: encodeResource({resource: res, replaced: 0}),
      })),
    });
  }
  const head = {cfg: 1, jobs: 0, recentJobs: [], members: 0, suspects: 0};
  const value = HEAD_ROW.encode(head);
  await table.write({
    checks: [],
    writes: [{kind: 'put', key: HEAD_KEY, value}],
  });
}

/**
 * @param index - Counts targets from 0.
 * @returns The name of a target.
 */
export function targetName(index: number): string {
  return `hall-a-target-${index}`;
}

const MODEL_SPEC = {
  type: 'model',
  batch: {throughputWeight: 0.3, maxHarm: 1.1},
  firstTokenMs: 390,
  betweenTokensMs: 40,
  maxOnline: 64,
  maxTokens: 4_096,
} as const;

const HASH_DIGITS = 64;

function caller(index: number): Resource {
  const hash = index.toString(16).padStart(HASH_DIGITS, '0');
  const spec = {role: 'caller', keyHashes: [hash], weight: 1} as const;
  return resource('callers', `account-${index}`, spec);
}

function limit(index: number): Resource {
  return resource('limits', `account-${index}`, {
    requestsPerSecond: 50,
    tokensPerSecond: 20_000,
    concurrent: 64,
    burstSeconds: 2,
  });
}

function target(index: number): Resource {
  return resource('targets', targetName(index), {
    pools: [BENCH_MODEL],
    address: '10.0.0.7:7410',
    dataCentre: 'hall-a',
    fenceCheck: 'unfenced',
    leaving: false,
  });
}

function resource<K extends Resource['kind']>(
  kind: K,
  name: string,
  spec: Resource<K>['spec'],
): Resource {
  return {kind, name, resourceVersion: 1, spec} as Resource;
}

function many<T>(count: number, make: (i: number) => T): readonly T[] {
  return Array.from({length: count}, (unused, i) => make(i));
}
