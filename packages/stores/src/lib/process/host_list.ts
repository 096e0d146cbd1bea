/** The platform's list of hosts. It lags: a host may be gone, or there, for longer than it says. */
import type {Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';

/** One host of the list. */
export interface Host {
  readonly id: string;
  readonly role: 'entry' | 'target';
  /** Host and port, by IP number. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

/** The host list. */
export interface HostList {
  hosts(): Promise<Outcome<readonly Host[], StoreError>>;
}
