/**
 * The platform's list of hosts. It is eventually consistent: a host may have
 * started or stopped some time before the list shows it.
 */
import type {Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';

/** An entry of the host list. */
export interface Host {
  readonly id: string;
  readonly role: 'entry' | 'target';
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

/** Reads the host list. */
export interface HostList {
  hosts(): Promise<Outcome<readonly Host[], StoreError>>;
}
