/** The host list in memory. */
import {success, type Outcome} from '@oathead/core';
import type {Host, HostList} from './host_list.js';
import type {StoreError} from './table_store.js';

/** A list of hosts that its owner sets. */
export class MemoryHosts implements HostList {
  /** @param list - The hosts at first. */
  constructor(private list: readonly Host[] = []) {}

  async hosts(): Promise<Outcome<readonly Host[], StoreError>> {
    return success(this.list);
  }

  /** @param list - The hosts from now on. */
  set(list: readonly Host[]): void {
    this.list = list;
  }
}
