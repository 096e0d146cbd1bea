/** HTTP client of the platform. */
import type {Clock} from '@oathead/core';
import {
  DEFAULT_STORE_CONNECTION,
  StoreConnection,
  type StoreConnectionOptions,
} from '../connection/store_connection.js';
import {HttpHosts} from './http_hosts.js';
import {HttpObjects} from './http_objects.js';
import {HttpTable} from './http_table.js';
import {HttpWeights} from './http_weights.js';
import type {Platform} from './platform.js';

/** Base URLs, and options that override {@link DEFAULT_STORE_CONNECTION}. */
export type HttpPlatformOptions = Pick<StoreConnectionOptions, 'baseUrls'> &
  Partial<StoreConnectionOptions>;

/** The four services of the platform, which share a connection pool. */
export class HttpPlatform implements Platform, AsyncDisposable {
  readonly table: HttpTable;
  readonly objects: HttpObjects;
  readonly weights: HttpWeights;
  readonly hosts: HttpHosts;
  private readonly connection: StoreConnection;

  /**
   * @param clock - Clock for timeouts.
   * @param options - Base URLs and connection options.
   */
  constructor(clock: Clock, options: HttpPlatformOptions) {
    const connectionOptions = {...DEFAULT_STORE_CONNECTION, ...options};
    this.connection = new StoreConnection(clock, connectionOptions);
    this.table = new HttpTable(this.connection);
    this.objects = new HttpObjects(this.connection);
    this.weights = new HttpWeights(this.connection);
    this.hosts = new HttpHosts(this.connection);
  }

  /** Waits for calls in flight, then closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.connection[Symbol.asyncDispose]();
  }
}
