/** The other entries of the fleet, reached when there is something to ask. */
import {LinkLostError, rendezvous} from '@oathead/core';
import type {Clock, ServeEvent, ServeOutcome} from '@oathead/core';
import type {ConfigDelta, ConfigPeers} from '@oathead/config';
import type {Membership, Peer} from '@oathead/membership';
import type {UseReport, UseReports} from '../process/limit_gate.js';
import type {KeyedCall} from '../request/keyed_requests.js';
import type {PeerLinks} from '../request/online_service.js';
import type {PeerLink} from './peer_link.js';

/** Entries that an entry asks for the configuration. */
const ASKED_PEERS = 8;

/** Opens a link to another entry. */
export type PeerLinkTo = (peer: Peer) => PeerLink;

interface OpenLink {
  readonly address: string;
  readonly link: PeerLink;
}

/** Links to the other entries, opened when first used. */
export class Peers implements PeerLinks, ConfigPeers, Disposable {
  private readonly open = new Map<string, OpenLink>();

  /**
   * @param clock - Turns deadlines into time left.
   * @param membership - Who the other entries are.
   * @param linkTo - Opens a link.
   */
  constructor(
    private readonly clock: Clock,
    private readonly membership: Membership,
    private readonly linkTo: PeerLinkTo,
  ) {
    membership.onHead(() => this.closeGone());
  }

  async *forward(
    peer: Peer,
    call: KeyedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const {traceparent} = call;
    const forwarded = {
      id: call.id,
      caller: call.caller,
      work: call.work,
      idempotent: call.idempotent,
      dedupeKey: call.dedupeKey,
      timeoutMs: Math.max(1, call.deadline - this.clock.now()),
      stream: call.stream,
      ...(traceparent === undefined ? {} : {traceparent}),
    };
    yield* this.link(peer).serve(forwarded, signal);
  }

  /** @returns The outcome of a key as its home keeps it. */
  async findOutcome(
    peer: Peer,
    dedupeKey: string,
  ): Promise<ServeOutcome | undefined> {
    return this.link(peer).findOutcome(dedupeKey);
  }

  /** @throws LinkLostError */
  reportUse(peer: Peer, reports: UseReports): Promise<readonly UseReport[]> {
    return this.link(peer).reportUse(reports);
  }

  /**
   * The entries that this one asks for the configuration: always the same few,
   * so that connections do not grow with the square of the fleet.
   */
  ids(): readonly string[] {
    const ids = this.others().map(({entryId}) => entryId);
    return rendezvous(this.membership.entryId, ids).slice(0, ASKED_PEERS);
  }

  async ask(id: string, since: number): Promise<ConfigDelta | undefined> {
    const peer = this.others().find(({entryId}) => entryId === id);
    if (!peer) return undefined;
    try {
      const {entryId} = this.membership;
      return await this.link(peer).configSince({entryId, since});
    } catch (err) {
      if (err instanceof LinkLostError) return undefined;
      throw err;
    }
  }

  [Symbol.dispose](): void {
    for (const {link} of this.open.values()) link[Symbol.dispose]();
    this.open.clear();
  }

  private others(): readonly Peer[] {
    const {entryId} = this.membership;
    return this.membership.peers().filter(peer => peer.entryId !== entryId);
  }

  private link(peer: Peer): PeerLink {
    const known = this.open.get(peer.entryId);
    if (known?.address === peer.address) return known.link;
    known?.link[Symbol.dispose]();
    const link = this.linkTo(peer);
    this.open.set(peer.entryId, {address: peer.address, link});
    return link;
  }

  private closeGone(): void {
    const present = new Set(this.others().map(({entryId}) => entryId));
    for (const [id, {link}] of this.open) {
      if (present.has(id)) continue;
      link[Symbol.dispose]();
      this.open.delete(id);
    }
  }
}
