/** Clients of the other serving processes. */
import {staying, type Member} from '@oathead/gateway';
import {PeerClient, type Snapshot} from './peer_router.js';

/** Snapshot of a peer and the address it came from. */
export interface PeerSnapshot {
  readonly address: string;
  readonly snapshot: Snapshot;
}

/**
 * Clients by address: of the live members that may be called, or of the seeds
 * while no member is known.
 */
export class PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  /**
   * @param seeds - Returns the seed addresses from the settings.
   * @param members - Returns the live members except this process.
   */
  constructor(
    private readonly seeds: () => readonly string[],
    private readonly members: () => readonly Member[],
  ) {}

  /**
   * @returns Clients of the peers that are currently known, without those that
   *     are shutting down if others are not.
   */
  available(): readonly PeerClient[] {
    const staysOn = staying(this.members());
    const members = staysOn.map(({controlAddress}) => controlAddress);
    const addresses = members.length > 0 ? members : this.seeds();
    for (const known of this.clients.keys())
      if (!addresses.includes(known)) this.clients.delete(known);
    return addresses.map(address => this.clientFor(address));
  }

  /**
   * @param id - Member ID of a peer.
   * @returns Its client; undefined if it is not a live member.
   */
  clientOf(id: string): PeerClient | undefined {
    const member = this.members().find(member => member.id === id);
    return member && this.clientFor(member.controlAddress);
  }

  /**
   * Asks all peers for a snapshot.
   *
   * @returns The first snapshot that contains any rows; undefined if there is
   *   none.
   */
  async firstSnapshot(): Promise<PeerSnapshot | undefined> {
    const answers = await Promise.all(
      this.available().map(async peer => ({
        address: peer.address,
        snapshot: await peer.snapshot(),
      })),
    );
    for (const {address, snapshot} of answers)
      if (snapshot && hasRows(snapshot)) return {address, snapshot};
    return undefined;
  }

  private clientFor(address: string): PeerClient {
    const known = this.clients.get(address) ?? new PeerClient(address);
    this.clients.set(address, known);
    return known;
  }
}

function hasRows(snapshot: Snapshot): boolean {
  return Object.values(snapshot).some(rows => rows.length > 0);
}
