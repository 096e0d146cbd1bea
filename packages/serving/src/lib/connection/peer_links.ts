/** The other serving processes that can be asked. */
import type {Member} from '@oathead/gateway';
import {Peer, type Snapshot} from './peer_router.js';

/** What a peer answered, and which it was. */
export interface PeerSnapshot {
  readonly address: string;
  readonly snapshot: Snapshot;
}

/** Peers by address: live members, or the seeds while none is known. */
export class PeerLinks {
  private readonly peers = new Map<string, Peer>();

  /**
   * @param seeds - Addresses that the settings give.
   * @param members - The live members but this process.
   */
  constructor(
    private readonly seeds: () => readonly string[],
    private readonly members: () => readonly Member[],
  ) {}

  /** @returns The peers that can be asked now. */
  links(): readonly Peer[] {
    const members = this.members().map(({controlAddress}) => controlAddress);
    const addresses = members.length > 0 ? members : this.seeds();
    for (const known of this.peers.keys())
      if (!addresses.includes(known)) this.peers.delete(known);
    return addresses.map(address => this.link(address));
  }

  /** @returns What the first peer that knows anything knows. */
  async firstSnapshot(): Promise<PeerSnapshot | undefined> {
    const answers = await Promise.all(
      this.links().map(async peer => ({
        address: peer.address,
        snapshot: await peer.snapshot(),
      })),
    );
    for (const {address, snapshot} of answers)
      if (snapshot && hasRows(snapshot)) return {address, snapshot};
    return undefined;
  }

  private link(address: string): Peer {
    const known = this.peers.get(address) ?? new Peer(address);
    this.peers.set(address, known);
    return known;
  }
}

function hasRows(snapshot: Snapshot): boolean {
  return Object.values(snapshot).some(rows => rows.length > 0);
}
