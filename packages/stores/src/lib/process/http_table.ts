/** HTTP client of the table service. */
import {success, type Outcome} from '@oathead/core';
import {
  callJson,
  COMMITTED_SCHEMA,
  LIST_SCHEMA,
  READ_SCHEMA,
} from '../connection/store_responses.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {
  TransactionResult,
  ListOptions,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from './table_store.js';

/** A {@link TableStore} that is accessed over HTTP. */
export class HttpTable implements TableStore {
  /** @param connection - Connection to the platform. */
  constructor(private readonly connection: StoreConnection) {}

  async read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    const req = post('/v1/table/read', {keys}, false);
    const result = await callJson(this.connection, req, READ_SCHEMA);
    if (!result.ok) return result;
    return success(result.value.rows.map(row => row ?? undefined));
  }

  async list(
    prefix: string,
    options: ListOptions = {},
  ): Promise<Outcome<readonly Row[], StoreError>> {
    const req = post('/v1/table/list', {prefix, ...options}, false);
    const result = await callJson(this.connection, req, LIST_SCHEMA);
    return result.ok ? success(result.value.rows) : result;
  }

  write(
    transaction: Transaction,
  ): Promise<Outcome<TransactionResult, StoreError>> {
    const req = post('/v1/table/write', transaction, true);
    return callJson(this.connection, req, COMMITTED_SCHEMA);
  }
}

function post(path: string, body: object, writes: boolean) {
  const json = JSON.stringify(body);
  return {method: 'POST', path, body: json, writes} as const;
}
