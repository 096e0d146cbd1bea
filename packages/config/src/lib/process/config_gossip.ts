/** Asks other entries what they know of the configuration. */
import {repeat} from '@oathead/core';
import type {Clock, Random} from '@oathead/core';
import type {ConfigDelta} from '../version/change.js';

/** Ways to ask other entries what they know of the configuration. */
export interface ConfigPeers {
  /** @returns Names of the peers that can be asked now. */
  ids(): readonly string[];
  /**
   * @param id - A peer.
   * @param since - The revision that is known already; -1 for none.
   * @returns What the peer knows beyond it; undefined when it knows no more or
   *     does not answer in time. Never rejects.
   */
  ask(id: string, since: number): Promise<ConfigDelta | undefined>;
}

/** What asking needs. */
export interface ConfigGossipOptions {
  readonly peers: ConfigPeers;
  readonly clock: Clock;
  readonly random: Random;
  /** The revision that is known now; -1 for none. */
  readonly known: () => number;
  readonly onDelta: (delta: ConfigDelta) => void;
}

/** How often peers are asked, in milliseconds, whatever happens. */
const PERIOD_MS = 500;
/** How many peers are asked each time. */
const FANOUT = 2;

/**
 * Asks a few peers at a constant rate. What one entry knows is known to all of
 * `n` after about `log3(n)` periods, also while the store is down.
 */
export class ConfigGossip {
  /** @param options - What asking needs. */
  constructor(private readonly options: ConfigGossipOptions) {}

  /** Asks on and on. @returns A disposable that ends it. */
  start(): Disposable {
    return repeat(this.options.clock, PERIOD_MS, () => this.askSome());
  }

  /** Asks a few peers, chosen at random, once. */
  async askSome(): Promise<void> {
    const {peers, random} = this.options;
    const ids = [...peers.ids()];
    const chosen: string[] = [];
    while (chosen.length < FANOUT && ids.length > 0) {
      chosen.push(...ids.splice(random.int(ids.length), 1));
    }
    await Promise.all(chosen.map(id => this.ask(id)));
  }

  private async ask(id: string): Promise<void> {
    const {peers, known, onDelta} = this.options;
    const delta = await peers.ask(id, known());
    if (delta) onDelta(delta);
  }
}
