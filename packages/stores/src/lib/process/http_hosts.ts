/** The host list over HTTP. */
import {success, type Outcome} from '@oathead/core';
import {callJson, HOSTS_SCHEMA} from '../connection/store_answers.js';
import type {StoreConnection} from '../connection/store_connection.js';
import type {Host, HostList} from './host_list.js';
import type {StoreError} from './table_store.js';

/** A host list at the other end of a connection. */
export class HttpHosts implements HostList {
  /** @param connection - Where the list is. */
  constructor(private readonly connection: StoreConnection) {}

  async hosts(): Promise<Outcome<readonly Host[], StoreError>> {
    const req = {method: 'GET', path: '/v1/hosts', writes: false} as const;
    const answer = await callJson(this.connection, req, HOSTS_SCHEMA);
    return answer.ok ? success(answer.value.hosts) : answer;
  }
}
