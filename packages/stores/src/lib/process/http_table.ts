/** The table service over HTTP. */
import {success, type Outcome} from '@oathead/core';
import {
  callJson,
  COMMITTED_SCHEMA,
  LIST_SCHEMA,
  READ_SCHEMA,
} from '../connection/store_answers.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {
  Committed,
  ListOptions,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from './table_store.js';

/** A table at the other end of a connection. */
export class HttpTable implements TableStore {
  /** @param connection - Where the table is. */
  constructor(private readonly connection: StoreConnection) {}

  async read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    const req = post('/v1/table/read', {keys}, false);
    const answer = await callJson(this.connection, req, READ_SCHEMA);
    if (!answer.ok) return answer;
    return success(answer.value.rows.map(row => row ?? undefined));
  }

  async list(
    prefix: string,
    options: ListOptions = {},
  ): Promise<Outcome<readonly Row[], StoreError>> {
    const req = post('/v1/table/list', {prefix, ...options}, false);
    const answer = await callJson(this.connection, req, LIST_SCHEMA);
    return answer.ok ? success(answer.value.rows) : answer;
  }

  write(transaction: Transaction): Promise<Outcome<Committed, StoreError>> {
    const req = post('/v1/table/write', transaction, true);
    return callJson(this.connection, req, COMMITTED_SCHEMA);
  }
}

function post(path: string, body: object, writes: boolean) {
  const json = JSON.stringify(body);
  return {method: 'POST', path, body: json, writes} as const;
}
