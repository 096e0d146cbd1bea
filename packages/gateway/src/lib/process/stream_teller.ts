/**
 * Tells other hosts where the streams of this host began, so that they know it
 * when this host is lost. This module does no network I/O.
 */
import type {Clock} from '@oathead/core';
import {
  MAX_TOLD_STREAMS,
  type StreamOrigin,
  type ToldStream,
} from '../connection/stream_version_message.js';
import type {HostRing} from './host_ring.js';
import type {LoadPeer} from './load_reporter.js';
import {STREAM_LIFETIME_MS} from './service_versions.js';

/** Number of hosts that are told of a stream while there is one version. */
const TOLD_HOSTS = 2;
/** The same while there may be several, so that its version matters at once. */
const TOLD_HOSTS_IF_MIXED = 4;
/** Bounds the memory that streams can take. */
const MAX_STREAMS = 20_000;

/** Dependencies of {@link StreamTeller}. */
export interface StreamTellerContext<P extends LoadPeer> {
  readonly clock: Clock;
  /** @returns The live hosts except this one, in the order of their hashes. */
  readonly ring: () => HostRing<P>;
  /** @returns Whether a service may have several software versions. */
  readonly isMixed: (service: string) => boolean;
  readonly send: (streams: readonly ToldStream[], to: P) => void;
}

/** A stream of this host. */
interface OwnStream {
  readonly origin: StreamOrigin;
  readonly at: number;
  /** IDs of the hosts that have been told. */
  readonly told: Set<string>;
}

/** The streams of this host, and who has been told of them. */
export class StreamTeller<P extends LoadPeer = LoadPeer> {
  /** By ID, the oldest first. */
  private readonly streams = new Map<string, OwnStream>();

  /** @param context - The other hosts. */
  constructor(private readonly context: StreamTellerContext<P>) {}

  /**
   * Records where a stream of this host begins, and tells others of it.
   *
   * @param stream - ID of the stream.
   * @param origin - Where it began.
   */
  record(stream: string, origin: StreamOrigin): void {
    const own = {
      origin,
      at: this.context.clock.now(),
      told: new Set<string>(),
    };
    this.streams.delete(stream);
    this.streams.set(stream, own);
    this.dropOld();
    this.tell([[stream, own]]);
  }

  /**
   * Tells hosts that have not been told although they are now those to ask:
   * other hosts have come or gone, or a service has a second version.
   */
  tellAll(): void {
    this.dropOld();
    this.tell(this.streams);
  }

  private tell(streams: Iterable<readonly [string, OwnStream]>): void {
    const {ring, isMixed, send} = this.context;
    const hosts = ring();
    const byHost = new Map<P, ToldStream[]>();
    for (const [stream, {origin, told}] of streams) {
      const {service, softwareVersion} = origin;
      const count = isMixed(service) ? TOLD_HOSTS_IF_MIXED : TOLD_HOSTS;
      for (const host of hosts.after(stream, count)) {
        if (told.has(host.id)) continue;
        told.add(host.id);
        const entries = byHost.get(host) ?? [];
        byHost.set(host, entries);
        entries.push([stream, service, softwareVersion]);
      }
    }
    for (const [host, entries] of byHost)
      for (let i = 0; i < entries.length; i += MAX_TOLD_STREAMS)
        send(entries.slice(i, i + MAX_TOLD_STREAMS), host);
  }

  private dropOld(): void {
    const since = this.context.clock.now() - STREAM_LIFETIME_MS;
    for (const [stream, {at}] of this.streams) {
      if (at >= since && this.streams.size <= MAX_STREAMS) return;
      this.streams.delete(stream);
    }
  }
}
