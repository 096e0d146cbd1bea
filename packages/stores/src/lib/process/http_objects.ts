/** The object store over HTTP. */
import {success, type Outcome} from '@oathead/core';
import {callBytes, checkStatus} from '../connection/store_answers.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {ObjectStore} from './object_store.js';
import type {StoreError} from './table_store.js';

const STATUS_NOT_FOUND = 404;

/** An object store at the other end of a connection. */
export class HttpObjects implements ObjectStore {
  /** @param connection - Where the store is. */
  constructor(private readonly connection: StoreConnection) {}

  async put(key: string, body: Uint8Array): Promise<Outcome<void, StoreError>> {
    const req = {method: 'PUT', path: pathOf(key), body, writes: true} as const;
    const answer = await callBytes(this.connection, req);
    return answer.ok ? success(undefined) : answer;
  }

  async get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>> {
    const req = {method: 'GET', path: pathOf(key), writes: false} as const;
    const answer = await this.connection.call(req);
    if (answer.ok && answer.value.status === STATUS_NOT_FOUND)
      return success(undefined);
    return answer.ok ? checkStatus(req, answer.value) : answer;
  }

  async delete(key: string): Promise<Outcome<void, StoreError>> {
    const req = {method: 'DELETE', path: pathOf(key), writes: true} as const;
    const answer = await callBytes(this.connection, req);
    return answer.ok ? success(undefined) : answer;
  }
}

function pathOf(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
