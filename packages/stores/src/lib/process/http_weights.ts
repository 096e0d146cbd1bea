/** HTTP client of the weight store. */
import {success, type Outcome} from '@oathead/core';
import {
  callJson,
  CONCURRENT_LOADS_SCHEMA,
  WEIGHT_SCHEMA,
} from '../connection/store_responses.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {StoreError} from './table_store.js';
import type {WeightInfo, WeightStore} from './weight_store.js';

/** A {@link WeightStore} that is accessed over HTTP. */
export class HttpWeights implements WeightStore {
  /** @param connection - Connection to the platform. */
  constructor(private readonly connection: StoreConnection) {}

  async describe(
    name: string,
  ): Promise<Outcome<WeightInfo | undefined, StoreError>> {
    const req = get(`/v1/weights/${encodeURIComponent(name)}`);
    const result = await callJson(this.connection, req, WEIGHT_SCHEMA);
    return result.ok ? success(result.value.weight ?? undefined) : result;
  }

  async concurrentLoads(): Promise<Outcome<number, StoreError>> {
    const req = get('/v1/weights');
    const result = await callJson(
      this.connection,
      req,
      CONCURRENT_LOADS_SCHEMA,
    );
    return result.ok ? success(result.value.concurrentLoads) : result;
  }
}

function get(path: string) {
  return {method: 'GET', path, writes: false} as const;
}
