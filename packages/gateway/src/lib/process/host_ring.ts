/**
 * Assigns keys to hosts by consistent hashing, with a cost for each key that
 * hardly grows with the number of hosts. A host that comes or goes changes the
 * assignment only of the keys next to it.
 */
import {hash32} from '@oathead/core';
import type {LoadPeer} from './load_reporter.js';
import {hostOfMember} from './member.js';

interface Position<P> {
  readonly at: number;
  readonly host: P;
}

/** Hosts in the order of their hashes. */
export class HostRing<P extends LoadPeer> {
  private readonly positions: ReadonlyArray<Position<P>>;
  private readonly ids: ReadonlySet<string>;

  /** @param hosts - The hosts; a restarted one keeps its place. */
  constructor(hosts: readonly P[]) {
    this.positions = hosts
      .map(host => ({at: hash32(hostOfMember(host.id)), host}))
      .sort((a, b) => a.at - b.at);
    this.ids = new Set(hosts.map(({id}) => id));
  }

  /** @returns Whether the ring has these hosts and no others. */
  hasOnly(hosts: readonly P[]): boolean {
    return (
      hosts.length === this.ids.size && hosts.every(({id}) => this.ids.has(id))
    );
  }

  /**
   * @param key - A key.
   * @param count - Maximum number of hosts.
   * @returns The hosts that follow the key, each once.
   */
  after(key: string, count: number): readonly P[] {
    const {positions} = this;
    const first = this.firstAfter(hash32(key));
    const length = Math.min(count, positions.length);
    return Array.from(
      {length},
      (unused, i) => positions[(first + i) % positions.length]!.host,
    );
  }

  private firstAfter(at: number): number {
    let low = 0;
    let high = this.positions.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.positions[middle]!.at < at) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
