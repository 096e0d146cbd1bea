/** The platform over HTTP. */
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

/** How the platform is reached: where, and what differs from the defaults. */
export type HttpPlatformOptions = Pick<StoreConnectionOptions, 'baseUrls'> &
  Partial<StoreConnectionOptions>;

/** The four services behind the same base URLs. */
export class HttpPlatform implements Platform, AsyncDisposable {
  readonly table: HttpTable;
  readonly objects: HttpObjects;
  readonly weights: HttpWeights;
  readonly hosts: HttpHosts;
  private readonly connection: StoreConnection;

  /**
   * @param clock - Time for timeouts.
   * @param options - Where and how to connect.
   */
  constructor(clock: Clock, options: HttpPlatformOptions) {
    const whole = {...DEFAULT_STORE_CONNECTION, ...options};
    this.connection = new StoreConnection(clock, whole);
    this.table = new HttpTable(this.connection);
    this.objects = new HttpObjects(this.connection);
    this.weights = new HttpWeights(this.connection);
    this.hosts = new HttpHosts(this.connection);
  }

  /** Waits for calls under way, then closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.connection[Symbol.asyncDispose]();
  }
}
