/** In-memory host list. */
import {success, type Outcome} from '@oathead/core';
import type {Host, HostList} from './host_list.js';
import type {StoreError} from './table_store.js';

/** A {@link HostList} that returns the hosts set by its owner. */
export class MemoryHosts implements HostList {
  /** @param list - The initial hosts. */
  constructor(private list: readonly Host[] = []) {}

  async hosts(): Promise<Outcome<readonly Host[], StoreError>> {
    return success(this.list);
  }

  /**
   * Replaces the list.
   *
   * @param list - The new hosts.
   */
  set(list: readonly Host[]): void {
    this.list = list;
  }
}
