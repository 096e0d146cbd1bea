/**
 * Remembers at which software version the streams of all hosts began, so that a
 * caller who takes a stream up at any host gets the rest from the same version.
 * See `docs/design/stream-versions.md`. This module does no network I/O.
 */
import {
  DisposableStore,
  repeat,
  type Clock,
  type Counters,
  type EventLog,
} from '@oathead/core';
import {
  MAX_TOLD_STREAMS,
  type StreamOrigin,
  type StreamVersionAnswer,
  type StreamVersionAsk,
  type StreamVersionMessage,
  type ToldStream,
} from '../connection/stream_version_message.js';
import {HostRing} from './host_ring.js';
import type {LoadPeer} from './load_reporter.js';
import {StreamOrigins} from './stream_origins.js';
import type {TargetDirectory, VersionView} from './target_directory.js';

/** How a host came to what may be done with a stream. */
export type StreamEvidence =
  'one-version' | 'known' | 'learned' | 'inferred' | 'unknown';

/** A decision and the knowledge behind it, for the log. */
export interface StreamFinding {
  readonly continuation: StreamContinuation;
  readonly evidence: StreamEvidence;
  /** What the list of targets says of the versions of the service. */
  readonly listed: VersionView['kind'];
}

/** What may be done with a stream that has begun. */
export type StreamContinuation =
  /** Nothing can be joined wrongly. */
  | {readonly kind: 'anywhere'}
  /** Only targets of this version may go on with it. */
  | {readonly kind: 'at-version'; readonly softwareVersion: string}
  /** The version cannot be learned. */
  | {readonly kind: 'unknown'};

/** Dependencies of {@link StreamVersions}. */
export interface StreamVersionsContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly directory: Pick<
    TargetDirectory,
    'onlyVersion' | 'versionView' | 'versions' | 'onVersionListed'
  >;
  /** @returns All live hosts except this one. */
  readonly peers: () => readonly P[];
  /** @returns The host with this ID; undefined if it is not known. */
  readonly peer: (id: string) => P | undefined;
  readonly send: (message: StreamVersionMessage, to: readonly P[]) => void;
}

/** Number of hosts that are told of a stream. */
const TOLD_HOSTS = 4;
/**
 * Number of hosts that are asked for one: more than are told, because hosts may
 * differ for a moment on who is alive.
 */
const ASKED_HOSTS = 6;
/**
 * How long a host waits for answers, in milliseconds, and how often it asks:
 * several round trips between data centres, and datagrams may be lost.
 */
const ANSWER_TIMEOUT_MS = 80;
const MAX_ASKS = 2;
/** How long the ring of hosts is used before it is built anew. */
const RING_LIFETIME_MS = 250;
/**
 * Interval at which a host notices that it does not follow the list of targets
 * any more, in milliseconds.
 */
const OUTAGE_CHECK_MS = 500;

const ANYWHERE: StreamContinuation = {kind: 'anywhere'};
const UNKNOWN: StreamContinuation = {kind: 'unknown'};

type AnswerHandler = (answer: StreamVersionAnswer) => void;

/** What the hosts that were asked have answered. */
interface Answers {
  readonly began: StreamOrigin | undefined;
  readonly only: string | undefined;
}

/** The streams of one host, and what it knows of those of others. */
export class StreamVersions<
  P extends LoadPeer = LoadPeer,
> implements Disposable {
  private readonly origins: StreamOrigins;
  /** Streams of this host of which no other host has been told, by service. */
  private readonly untold = new Map<string, StreamOrigins>();
  private readonly pendingAsks = new Map<number, AnswerHandler>();
  private readonly disposables = new DisposableStore();
  private ring: HostRing<P> | undefined;
  private ringBuiltAt = -Infinity;
  private askId = 0;

  /** @param context - The targets and the other hosts. */
  constructor(private readonly context: StreamVersionsContext<P>) {
    this.origins = new StreamOrigins(() => context.clock.now());
    context.directory.onVersionListed(() => this.tell());
  }

  /** Starts to watch for outages of the list of targets. */
  start(): void {
    const {clock} = this.context;
    this.disposables.add(repeat(clock, OUTAGE_CHECK_MS, () => this.tell()));
  }

  /** Stops watching. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * Records where a stream of this host begins; to be called before its caller
   * gets the first event.
   *
   * @param stream - ID of the caller's attempt that gets the first event.
   * @param origin - Where the event comes from.
   */
  record(stream: string, origin: StreamOrigin): void {
    this.origins.set(stream, origin);
    this.untoldOf(origin.service).set(stream, origin);
    if (this.isMixed(origin.service)) this.tell();
  }

  /**
   * @param service - Service that is to go on with a stream.
   * @param stream - ID of the attempt that got its first event; undefined if
   *     its caller does not name it.
   * @returns Which targets may go on with it. Never rejects.
   */
  async continuationOf(
    service: string,
    stream: string | undefined,
  ): Promise<StreamFinding> {
    const counted = (
      evidence: StreamEvidence,
      continuation: StreamContinuation,
    ) => this.counted(service, evidence, continuation);
    if (!this.isMixed(service)) return counted('one-version', ANYWHERE);
    const known = stream === undefined ? undefined : this.origins.get(stream);
    if (known) return counted('known', continuationAt(service, known));
    const {began, only} = await this.ask(service, stream);
    if (began) return counted('learned', continuationAt(service, began));
    if (only !== undefined) {
      const origin = {service, softwareVersion: only};
      return counted('inferred', continuationAt(service, origin));
    }
    const {versions} = this.context.directory;
    return versions.seen(service).size <= 1
      ? counted('one-version', ANYWHERE)
      : counted('unknown', UNKNOWN);
  }

  /** @param message - A message of another host. */
  receive(message: StreamVersionMessage): void {
    switch (message.kind) {
      case 'told':
        for (const [stream, service, softwareVersion] of message.streams)
          this.origins.set(stream, {service, softwareVersion});
        return;
      case 'ask':
        this.answer(message);
        return;
      case 'answer':
        this.pendingAsks.get(message.askId)?.(message);
    }
  }

  /** @returns Whether streams of a service may have begun at several versions. */
  private isMixed(service: string): boolean {
    return this.context.directory.onlyVersion(service) === undefined;
  }

  private untoldOf(service: string): StreamOrigins {
    const known = this.untold.get(service);
    if (known) return known;
    const streams = new StreamOrigins(() => this.context.clock.now());
    this.untold.set(service, streams);
    return streams;
  }

  /** Tells of all streams of services that may have several versions. */
  private tell(): void {
    for (const [service, streams] of this.untold)
      if (this.isMixed(service)) this.tellOf(streams.takeAll());
  }

  private tellOf(
    streams: ReadonlyArray<readonly [string, StreamOrigin]>,
  ): void {
    const ring = this.hosts();
    const byHost = new Map<P, ToldStream[]>();
    for (const [stream, {service, softwareVersion}] of streams) {
      for (const host of ring.after(stream, TOLD_HOSTS)) {
        const told = byHost.get(host) ?? [];
        byHost.set(host, told);
        told.push([stream, service, softwareVersion]);
      }
    }
    for (const [host, told] of byHost) {
      for (let i = 0; i < told.length; i += MAX_TOLD_STREAMS) {
        const part = told.slice(i, i + MAX_TOLD_STREAMS);
        this.context.send({kind: 'told', streams: part}, [host]);
      }
    }
  }

  private answer({host, askId, service, stream}: StreamVersionAsk): void {
    const {peer, directory, send} = this.context;
    const to = peer(host);
    // A sender that is not known yet asks other hosts as well.
    if (!to) return;
    const origin = this.origins.get(stream);
    const began = origin && {
      service: origin.service,
      softwareVersion: origin.softwareVersion,
    };
    const only = directory.onlyVersion(service);
    send({kind: 'answer', askId, began, only}, [to]);
  }

  private async ask(
    service: string,
    stream: string | undefined,
  ): Promise<Answers> {
    const nothing: Answers = {began: undefined, only: undefined};
    if (stream === undefined) return nothing;
    const hosts = this.hosts().after(stream, ASKED_HOSTS);
    if (hosts.length === 0) return nothing;
    let only: string | undefined;
    for (let i = 0; i < MAX_ASKS; i++) {
      const answers = await this.askOnce(service, stream, hosts);
      if (answers.began) {
        this.origins.set(stream, answers.began);
        return answers;
      }
      only ??= answers.only;
      if (answers.areAll) break;
    }
    return {began: undefined, only};
  }

  /** Asks several hosts at once; the first one that knows the stream decides. */
  private askOnce(
    service: string,
    stream: string,
    hosts: readonly P[],
  ): Promise<Answers & {readonly areAll: boolean}> {
    const {self, clock, send} = this.context;
    const askId = ++this.askId;
    return new Promise(resolve => {
      let only: string | undefined;
      let left = hosts.length;
      const settle = (began: StreamOrigin | undefined) => {
        this.pendingAsks.delete(askId);
        timer[Symbol.dispose]();
        resolve({began, only, areAll: left === 0});
      };
      const timer = clock.after(ANSWER_TIMEOUT_MS, () => settle(undefined));
      this.pendingAsks.set(askId, answer => {
        left--;
        only ??= answer.only;
        if (answer.began || left === 0) settle(answer.began);
      });
      send({kind: 'ask', host: self.id, askId, service, stream}, hosts);
    });
  }

  private hosts(): HostRing<P> {
    const {clock, peers} = this.context;
    const now = clock.now();
    if (this.ring && now - this.ringBuiltAt < RING_LIFETIME_MS)
      return this.ring;
    this.ring = new HostRing(peers());
    this.ringBuiltAt = now;
    return this.ring;
  }

  private counted(
    service: string,
    evidence: StreamEvidence,
    continuation: StreamContinuation,
  ): StreamFinding {
    const {counters, directory} = this.context;
    const {kind: listed} = directory.versionView(service);
    counters.count('streams_taken_up', {outcome: evidence, listed});
    return {continuation, evidence, listed};
  }
}

/**
 * Versions are those of one service: what has moved to another one is not
 * bound by them.
 */
function continuationAt(
  service: string,
  origin: StreamOrigin,
): StreamContinuation {
  const {softwareVersion} = origin;
  return origin.service === service
    ? {kind: 'at-version', softwareVersion}
    : ANYWHERE;
}
