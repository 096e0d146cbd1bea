/**
 * Remembers at which software version the streams of all hosts began, so that a
 * caller who takes a stream up at any host gets the rest from the same version.
 * See `docs/design/stream-versions.md`. This module does no network I/O.
 */
import {
  DisposableStore,
  repeat,
  sleep,
  type Clock,
  type Counters,
  type EventLog,
} from '@oathead/core';
import type {
  StreamOrigin,
  StreamVersionAsk,
  StreamVersionMessage,
} from '../connection/stream_version_message.js';
import {HostRing} from './host_ring.js';
import type {LoadPeer} from './load_reporter.js';
import type {RecordedStreams} from './recorded_streams.js';
import type {StreamRecord} from './stream_record.js';
import {
  continuationAt,
  hostAnswer,
  recordState,
  type RecordState,
  type StreamEvidence,
  type StreamFinding,
  type StreamKnowledge,
} from './stream_finding.js';
import {before, onlyPossible} from './stream_inference.js';
import {StreamOrigins} from './stream_origins.js';
import {StreamTeller} from './stream_teller.js';
import {
  NO_ANSWERS,
  StreamVersionAsker,
  type StreamVersionAnswers,
} from './stream_version_asker.js';
import type {TargetDirectory} from './target_directory.js';

/** Dependencies of {@link StreamVersions}. */
export interface StreamVersionsContext<P extends LoadPeer> {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  readonly directory: Pick<
    TargetDirectory,
    'onlyVersion' | 'versionView' | 'onVersionListed' | 'versions' | 'listAgeMs'
  >;
  /**
   * Reads the list of targets.
   *
   * @returns Whether it was read; the directory has its entries then.
   */
  readonly readTargets: () => Promise<boolean>;
  readonly record: Pick<StreamRecord, 'use' | 'begin' | 'end'>;
  /**
   * Returns how long streams of other hosts may be taken up after they have
   * begun, in milliseconds; see `StreamLifetime`.
   */
  readonly streamLifetimeMs: () => number;
  /** Reads what all hosts have recorded. */
  readonly readRecord: () => Promise<RecordedStreams>;
  /** @returns All live hosts except this one. */
  readonly peers: () => readonly P[];
  /** @returns The host with this ID; undefined if it is not known. */
  readonly peer: (id: string) => P | undefined;
  readonly send: (message: StreamVersionMessage, to: readonly P[]) => void;
}

/**
 * Number of hosts that are asked for one: more than are told, because hosts may
 * differ for a moment on who is alive.
 */
const ASKED_HOSTS = 6;
/** How long the ring of hosts is used before it is built anew. */
const RING_LIFETIME_MS = 250;
/**
 * Interval at which a host notices that others are to be told of its streams, in
 * milliseconds.
 */
const TELL_INTERVAL_MS = 500;
/**
 * How long a stream that nobody knows waits at a host that does not reach the
 * store, and between two attempts, in milliseconds: most such hosts were frozen
 * or cut off and are back within that time, and its caller has no attempt left.
 */
const OUT_OF_TOUCH_PATIENCE_MS = 1000;
const RETRY_PAUSE_MS = 200;

/** A stream that is taken up. */
interface Attempt {
  readonly service: string;
  readonly stream: string | undefined;
  /** When it is refused if nobody knows it, on the monotonic clock. */
  readonly giveUpAt: number;
}

interface Found {
  readonly finding: StreamFinding;
  /** Whether nothing more can be known soon. */
  readonly isDecided: boolean;
}

/** The streams of one host, and what it knows of those of others. */
export class StreamVersions<
  P extends LoadPeer = LoadPeer,
> implements Disposable {
  private readonly origins: StreamOrigins;
  private readonly teller: StreamTeller<P>;
  private readonly asker: StreamVersionAsker<P>;
  private readonly disposables = new DisposableStore();
  private ring: HostRing<P> | undefined;
  private ringBuiltAt = -Infinity;
  private readonly startedAt: number;

  /** @param context - The targets and the other hosts. */
  constructor(private readonly context: StreamVersionsContext<P>) {
    const {self, clock, directory, send} = context;
    this.startedAt = clock.now();
    this.origins = new StreamOrigins(
      () => clock.now(),
      context.streamLifetimeMs,
    );
    this.teller = new StreamTeller({
      clock,
      ring: () => this.hosts(),
      isMixed: service => directory.onlyVersion(service) === undefined,
      send: (streams, to) => send({kind: 'told', streams}, [to]),
    });
    this.asker = new StreamVersionAsker({self, clock, send});
    directory.onVersionListed(() => this.tell());
  }

  /** Starts to tell others again when hosts come or go. */
  start(): void {
    const {clock} = this.context;
    this.disposables.add(repeat(clock, TELL_INTERVAL_MS, () => this.tell()));
  }

  /** Stops that. */
  [Symbol.dispose](): void {
    this.disposables[Symbol.dispose]();
  }

  /**
   * Notes that a stream may begin; to be called before its request is sent.
   *
   * @param origin - Where it may begin.
   * @param endsAt - When it ends at the latest, in monotonic milliseconds.
   */
  use(origin: StreamOrigin, endsAt: number): void {
    this.context.record.use(origin, endsAt);
  }

  /**
   * Records where a stream of this host begins; to be called before its caller
   * gets the first event.
   *
   * @param stream - ID of the caller's attempt that gets the first event.
   * @param origin - Where the event comes from.
   * @param endsAt - When it ends at the latest, in monotonic milliseconds.
   */
  record(stream: string, origin: StreamOrigin, endsAt: number): void {
    this.origins.set(stream, origin);
    this.context.record.begin(stream, origin, endsAt);
    this.teller.record(stream, origin, endsAt);
  }

  /** @param stream - ID of a stream that its caller has got to its end. */
  recordEnd(stream: string): void {
    this.context.record.end(stream);
    this.teller.end(stream);
  }

  /** Tells the hosts that are to know of streams of this one and do not. */
  tell(): void {
    this.teller.tellAll();
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
    const giveUpAt = this.context.clock.now() + OUT_OF_TOUCH_PATIENCE_MS;
    for (;;) {
      const attempt = {service, stream, giveUpAt};
      const {finding, isDecided} = await this.find(attempt);
      const isLast = this.context.clock.now() >= giveUpAt;
      if (isDecided || isLast) return this.counted(finding);
      await sleep(this.context.clock, RETRY_PAUSE_MS);
    }
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
        this.asker.receive(message);
    }
  }

  /** @returns What is known now, and whether more may be known soon. */
  private async find({service, stream, giveUpAt}: Attempt): Promise<Found> {
    let answers = NO_ANSWERS;
    let record = undefined as RecordState | undefined;
    const decided = (evidence: StreamEvidence, origin?: StreamOrigin) => {
      const knowledge = this.knowledge(service, answers, record);
      const finding = this.finding(service, evidence, origin);
      return {finding: {...finding, knowledge}, isDecided: true};
    };
    const known = stream === undefined ? undefined : this.origins.get(stream);
    if (known) return decided('known', known);
    answers = await this.ask(service, stream);
    if (answers.began) return decided('learned', answers.began);
    const {clock, readRecord} = this.context;
    const recorded = await before(clock, giveUpAt, readRecord());
    record = recordState(recorded);
    const origin =
      stream === undefined ? undefined : recorded?.origins.get(stream);
    if (origin) return decided('recorded', origin);
    if (!recorded?.isComplete) return {...decided('unknown'), isDecided: false};
    const softwareVersion = answers.hasSeveral
      ? undefined
      : await onlyPossible(this.context, {service, recorded, giveUpAt});
    if (!softwareVersion) return decided('unknown');
    return decided('inferred', {service, softwareVersion});
  }

  private answer({host, askId, service, stream}: StreamVersionAsk): void {
    const {self, peer, directory, send} = this.context;
    const to = peer(host);
    // A sender that is not known yet asks other hosts as well.
    if (!to) return;
    const origin = this.origins.get(stream);
    const began = origin && {
      service: origin.service,
      softwareVersion: origin.softwareVersion,
    };
    const hasSeveral = directory.versionView(service).kind === 'several';
    const {listAgeMs} = directory;
    const answer = {askId, began, hasSeveral, host: self.id, listAgeMs};
    send({kind: 'answer', ...answer}, [to]);
  }

  private async ask(
    service: string,
    stream: string | undefined,
  ): Promise<StreamVersionAnswers> {
    if (stream === undefined) return NO_ANSWERS;
    const hosts = this.hosts().after(stream, ASKED_HOSTS);
    const answers = await this.asker.ask(service, stream, hosts);
    if (answers.began) this.origins.set(stream, answers.began);
    return answers;
  }

  private hosts(): HostRing<P> {
    const {clock, peers} = this.context;
    const now = clock.now();
    if (this.ring && now - this.ringBuiltAt < RING_LIFETIME_MS)
      return this.ring;
    const hosts = peers();
    if (!this.ring?.hasOnly(hosts)) this.ring = new HostRing(hosts);
    this.ringBuiltAt = now;
    return this.ring;
  }

  private finding(
    service: string,
    evidence: StreamEvidence,
    origin: StreamOrigin | undefined,
  ): Omit<StreamFinding, 'knowledge'> {
    const {kind: listed} = this.context.directory.versionView(service);
    const continuation = continuationAt(service, origin);
    return {continuation, evidence, listed};
  }

  private counted(finding: StreamFinding): StreamFinding {
    const {evidence: outcome, listed} = finding;
    this.context.counters.count('streams_taken_up', {outcome, listed});
    return finding;
  }

  private knowledge(
    service: string,
    {asked, received}: StreamVersionAnswers,
    record: RecordState | undefined,
  ): StreamKnowledge {
    const {clock, directory} = this.context;
    const known = directory.versions.knownForMs(service);
    return {
      upMs: Math.round(clock.now() - this.startedAt),
      listAgeMs: directory.listAgeMs,
      versions: [...known].map(([softwareVersion, ms]) => ({
        softwareVersion,
        knownMs: Math.round(ms),
      })),
      asked,
      answers: received.map(hostAnswer),
      record,
    };
  }
}
