/**
 * Load that this host has placed on or removed from other hosts and that those
 * hosts have not reported yet.
 */
import type {Lane, TargetLoad} from './target_load.js';

/**
 * A change of load that another host makes at the request of this host. Counts
 * are positive for requests that start and negative for requests that end.
 */
export interface PendingLoad extends TargetLoad {
  /** Load key of the target. */
  readonly key: string;
  /** When the change was requested, in monotonic milliseconds. */
  readonly at: number;
}

/** Pending load changes, grouped by the host or data centre that makes them. */
export class PendingLoads {
  private readonly byName = new Map<string, readonly PendingLoad[]>();

  /** All pending changes. */
  all(): readonly PendingLoad[] {
    return [...this.byName.values()].flat();
  }

  /** Hosts and data centres with pending changes. */
  names(): readonly string[] {
    return [...this.byName.keys()];
  }

  /**
   * Adds a pending change.
   *
   * @param name - The host or data centre that makes the change.
   * @param key - Load key of the target.
   * @param lane - Lane of the requests.
   * @param by - Number of requests that start; negative if they end.
   * @param at - Current monotonic time, in milliseconds.
   * @returns The pending change.
   */
  add(
    name: string,
    key: string,
    lane: Lane,
    by: number,
    at: number,
  ): PendingLoad {
    const online = lane === 'online' ? by : 0;
    const batch = lane === 'batch' ? by : 0;
    const change = {key, online, batch, at};
    this.byName.set(name, [...(this.byName.get(name) ?? []), change]);
    return change;
  }

  /**
   * Removes the changes that a load report already includes.
   *
   * @param name - The host or data centre that has reported its load.
   * @param until - Request time of the latest change that the report includes,
   *     in monotonic milliseconds.
   * @returns The removed changes.
   */
  removeReported(name: string, until: number): readonly PendingLoad[] {
    const pending = this.byName.get(name) ?? [];
    const remaining = pending.filter(({at}) => at > until);
    if (remaining.length > 0) this.byName.set(name, remaining);
    else this.byName.delete(name);
    return pending.filter(({at}) => at <= until);
  }
}
