/** HTTP client of the object store. */
import {success, type Outcome} from '@oathead/core';
import {callBytes, checkStatus} from '../connection/store_responses.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {ObjectStore} from './object_store.js';
import type {StoreError} from './table_store.js';

const STATUS_NOT_FOUND = 404;

/** An {@link ObjectStore} that is accessed over HTTP. */
export class HttpObjects implements ObjectStore {
  /** @param connection - Connection to the platform. */
  constructor(private readonly connection: StoreConnection) {}

  async put(key: string, body: Uint8Array): Promise<Outcome<void, StoreError>> {
    const req = {method: 'PUT', path: pathOf(key), body, writes: true} as const;
    const result = await callBytes(this.connection, req);
    return result.ok ? success(undefined) : result;
  }

  async get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>> {
    const req = {method: 'GET', path: pathOf(key), writes: false} as const;
    const result = await this.connection.call(req);
    if (result.ok && result.value.status === STATUS_NOT_FOUND)
      return success(undefined);
    return result.ok ? checkStatus(req, result.value) : result;
  }

  async delete(key: string): Promise<Outcome<void, StoreError>> {
    const req = {method: 'DELETE', path: pathOf(key), writes: true} as const;
    const result = await callBytes(this.connection, req);
    return result.ok ? success(undefined) : result;
  }
}

function pathOf(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
