/** The configuration in force: only ever replaced by a higher version. */
import type {EventLog} from '@oathead/core';
import {RouteMatcher} from './route_matcher.js';
import type {RoutingTable} from './routing_table.js';

/** Holds the configuration that requests are handled by. */
export class RoutingState {
  private matcher: RouteMatcher | undefined;
  private readonly listeners: Array<(table: RoutingTable) => void> = [];

  /** @param log - Where adopted and ignored versions are written. */
  constructor(private readonly log: EventLog) {}

  /** The version in force; undefined until one is known. */
  get current(): RouteMatcher | undefined {
    return this.matcher;
  }

  /** @param listener - Called with each version that is adopted. */
  onAdopted(listener: (table: RoutingTable) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Adopts a version unless one as high is in force: answers of the store and
   * of other hosts arrive in any order, and a configuration never goes back.
   *
   * @param table - The version that was read.
   * @param source - Where it came from, for the log.
   * @returns Whether it is in force now for the first time.
   */
  adopt(table: RoutingTable, source: string): boolean {
    const known = this.matcher?.table.version ?? -1;
    if (table.version <= known) return false;
    this.matcher = new RouteMatcher(table);
    this.log.event('config-adopted', {
      version: table.version,
      replaced: known,
      source,
      routes: table.routes.length,
      accounts: table.accounts?.size,
    });
    for (const listener of this.listeners) listener(table);
    return true;
  }
}
