/** The configuration in force. It is only ever replaced by a higher version. */
import type {EventLog} from '@oathead/core';
import type {ExpectedRow} from '@oathead/stores';
import {RouteMatcher} from './route_matcher.js';
import type {RoutingTable} from './routing_table.js';

/** Holds the configuration that requests are routed by. */
export class RoutingState {
  private matcher: RouteMatcher | undefined;
  private storedRow: ExpectedRow | undefined;
  private readonly listeners: Array<(table: RoutingTable) => void> = [];

  /** @param log - Receives an event for each adopted version. */
  constructor(private readonly log: EventLog) {}

  /** The version in force; undefined until the first one is adopted. */
  get current(): RouteMatcher | undefined {
    return this.matcher;
  }

  /**
   * The row that holds the version in force. A write that expects it takes
   * effect only while no newer configuration is stored.
   */
  get row(): ExpectedRow | undefined {
    return this.storedRow;
  }

  /**
   * @param account - Name of a client account.
   * @returns Its weight where accounts share capacity: the rate of its quota;
   *     undefined if it has none or there is no such account.
   */
  weightOf(account: string): number | undefined {
    const {accounts} = this.matcher?.table ?? {};
    return accounts?.findByName(account)?.quota?.perSecond;
  }

  /** @param listener - Called with each version that is adopted. */
  onAdopted(listener: (table: RoutingTable) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Adopts a version unless the version in force is at least as high. Replies
   * of the store and of other hosts arrive in any order, and the configuration
   * must never revert to an older version.
   *
   * @param table - The version that was read.
   * @param row - The row that holds it.
   * @param source - Where it was read from, for the log.
   * @returns Whether the version was adopted.
   */
  adopt(table: RoutingTable, row: ExpectedRow, source: string): boolean {
    const adoptedVersion = this.matcher?.table.version ?? -1;
    if (table.version < adoptedVersion) return false;
    const {partition, key, version} = row;
    // The same version may be stored again, in a row with a higher version.
    if (table.version > adoptedVersion || version > this.storedRow!.version)
      this.storedRow = {table: row.table, partition, key, version};
    if (table.version === adoptedVersion) return false;
    this.matcher = new RouteMatcher(table);
    this.log.event('config-adopted', {
      version: table.version,
      replaced: adoptedVersion,
      source,
      routes: table.routes.length,
      accounts: table.accounts?.size,
    });
    for (const listener of this.listeners) listener(table);
    return true;
  }
}
