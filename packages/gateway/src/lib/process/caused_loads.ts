/** What this host has caused at others and they do not tell yet. */
import type {Lane, TargetLoad} from './load_table.js';

/** A request that begins or ends somewhere else on this host's word. */
export interface CausedLoad extends TargetLoad {
  /** The target's key. */
  readonly key: string;
  /** When it was caused, on a steady clock in milliseconds. */
  readonly at: number;
}

/** Loads by who was told to begin or end them. */
export class CausedLoads {
  private readonly byName = new Map<string, readonly CausedLoad[]>();

  /** All that is not told yet. */
  all(): readonly CausedLoad[] {
    return [...this.byName.values()].flat();
  }

  /** Who was told to do anything that is not told yet. */
  names(): readonly string[] {
    return [...this.byName.keys()];
  }

  /**
   * @param name - A host, or a data centre.
   * @param key - The target's key.
   * @param lane - Which lane it is of.
   * @param by - How many requests begin; negative: end.
   * @param at - Now.
   * @returns What was noted.
   */
  add(
    name: string,
    key: string,
    lane: Lane,
    by: number,
    at: number,
  ): CausedLoad {
    const online = lane === 'online' ? by : 0;
    const batch = lane === 'batch' ? by : 0;
    const caused = {key, online, batch, at};
    this.byName.set(name, [...(this.byName.get(name) ?? []), caused]);
    return caused;
  }

  /**
   * @param name - A host, or a data centre, that tells by now what it did.
   * @param until - The latest time at which something was caused that it tells of.
   * @returns What is told now, and no longer kept here.
   */
  settle(name: string, until: number): readonly CausedLoad[] {
    const caused = this.byName.get(name) ?? [];
    const left = caused.filter(({at}) => at > until);
    if (left.length > 0) this.byName.set(name, left);
    else this.byName.delete(name);
    return caused.filter(({at}) => at <= until);
  }
}
