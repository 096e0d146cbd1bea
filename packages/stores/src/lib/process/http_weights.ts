/** The weight store over HTTP. */
import {success, type Outcome} from '@oathead/core';
import {
  callJson,
  LOADS_SCHEMA,
  WEIGHT_SCHEMA,
} from '../connection/store_answers.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {StoreError} from './table_store.js';
import type {WeightInfo, WeightStore} from './weight_store.js';

/** A weight store at the other end of a connection. */
export class HttpWeights implements WeightStore {
  /** @param connection - Where the store is. */
  constructor(private readonly connection: StoreConnection) {}

  async describe(
    name: string,
  ): Promise<Outcome<WeightInfo | undefined, StoreError>> {
    const req = get(`/v1/weights/${encodeURIComponent(name)}`);
    const answer = await callJson(this.connection, req, WEIGHT_SCHEMA);
    return answer.ok ? success(answer.value.weight ?? undefined) : answer;
  }

  async concurrentLoads(): Promise<Outcome<number, StoreError>> {
    const req = get('/v1/weights');
    const answer = await callJson(this.connection, req, LOADS_SCHEMA);
    return answer.ok ? success(answer.value.concurrentLoads) : answer;
  }
}

function get(path: string) {
  return {method: 'GET', path, writes: false} as const;
}
