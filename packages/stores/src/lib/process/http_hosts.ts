/** HTTP client of the host list. */
import {success, type Outcome} from '@oathead/core';
import {callJson, HOSTS_SCHEMA} from '../connection/store_responses.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {Host, HostList} from './host_list.js';
import type {StoreError} from './table_store.js';

/** A {@link HostList} that is read from the platform over HTTP. */
export class HttpHosts implements HostList {
  /** @param connection - Connection to the platform. */
  constructor(private readonly connection: StoreConnection) {}

  async hosts(): Promise<Outcome<readonly Host[], StoreError>> {
    const req = {method: 'GET', path: '/v1/hosts', writes: false} as const;
    const result = await callJson(this.connection, req, HOSTS_SCHEMA);
    return result.ok ? success(result.value.hosts) : result;
  }
}
