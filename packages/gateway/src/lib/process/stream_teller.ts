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
import {TAKE_UP_MS} from './stream_lifetime.js';

/** Number of hosts that are told of a stream while there is one version. */
const TOLD_HOSTS = 2;
/** The same while there may be several, so that its version matters at once. */
const TOLD_HOSTS_IF_MIXED = 4;
/** Bounds the memory that streams can take. */
const MAX_STREAMS = 40_000;
/** How long a stream is told of after its caller has got it whole, in ms. */
const ENDED_LIFETIME_MS = 1000;

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
  /** Time from which it cannot be taken up any more, in monotonic ms. */
  keptUntil: number;
  /** IDs of the hosts that have been told. */
  readonly told: Set<string>;
}

/** Which hosts are to know of streams. */
interface Audience<P extends LoadPeer> {
  readonly ring: HostRing<P>;
  /** The services that may have several software versions. */
  readonly mixedServices: readonly string[];
}

/** The streams of this host, and who has been told of them. */
export class StreamTeller<P extends LoadPeer = LoadPeer> {
  /** By ID, the oldest first. */
  private readonly streams = new Map<string, OwnStream>();
  /** Services that streams of this host have begun at. */
  private readonly services = new Set<string>();
  /** Whom all streams have been told. */
  private toldAudience: Audience<P> | undefined;

  /** @param context - The other hosts. */
  constructor(private readonly context: StreamTellerContext<P>) {}

  /**
   * Records where a stream of this host begins, and tells others of it.
   *
   * @param stream - ID of the stream.
   * @param origin - Where it began.
   * @param endsAt - When it ends at the latest, in monotonic milliseconds.
   */
  record(stream: string, origin: StreamOrigin, endsAt: number): void {
    const keptUntil = endsAt + TAKE_UP_MS;
    const own = {origin, keptUntil, told: new Set<string>()};
    this.streams.delete(stream);
    this.streams.set(stream, own);
    this.services.add(origin.service);
    const [oldest] = this.streams.keys();
    if (this.streams.size > MAX_STREAMS) this.streams.delete(oldest!);
    this.tell([[stream, own]]);
  }

  /** @param stream - ID of a stream that its caller has got to its end. */
  end(stream: string): void {
    const own = this.streams.get(stream);
    if (own) own.keptUntil = this.context.clock.now() + ENDED_LIFETIME_MS;
  }

  /**
   * Tells hosts that have not been told although they are now those to ask:
   * other hosts have come or gone, or a service has a second version.
   */
  tellAll(): void {
    this.dropOld();
    const audience = this.audience();
    if (isSameAudience(audience, this.toldAudience)) return;
    this.toldAudience = audience;
    this.tell(this.streams);
  }

  private audience(): Audience<P> {
    const {ring, isMixed} = this.context;
    return {ring: ring(), mixedServices: [...this.services].filter(isMixed)};
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
    const now = this.context.clock.now();
    for (const [stream, {keptUntil}] of this.streams)
      if (keptUntil <= now) this.streams.delete(stream);
  }
}

function isSameAudience<P extends LoadPeer>(
  {ring, mixedServices}: Audience<P>,
  before: Audience<P> | undefined,
): boolean {
  if (ring !== before?.ring) return false;
  return (
    mixedServices.length === before.mixedServices.length &&
    mixedServices.every(service => before.mixedServices.includes(service))
  );
}
