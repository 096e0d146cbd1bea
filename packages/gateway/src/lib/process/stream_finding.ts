/** What a host decides on a stream that its caller takes up, and from what. */
import type {
  StreamOrigin,
  StreamVersionAnswer,
} from '../connection/stream_version_message.js';
import type {RecordedStreams} from './recorded_streams.js';
import type {VersionView} from './target_directory.js';

/** How a host came to what may be done with a stream. */
export type StreamEvidence =
  /** This host knows the stream. */
  | 'known'
  /** Another host knew it. */
  | 'learned'
  /** The record in the store knew it. */
  | 'recorded'
  /** Nobody knows it, but it can have begun at one version only. */
  | 'inferred'
  | 'unknown';

/** A decision and the knowledge behind it, for the log. */
export interface StreamFinding {
  readonly continuation: StreamContinuation;
  readonly evidence: StreamEvidence;
  /** What the list of targets says of the versions of the service. */
  readonly listed: VersionView['kind'];
  readonly knowledge: StreamKnowledge;
}

/** What a decision on a stream could rest on, for the log. */
export interface StreamKnowledge {
  /** How long this host has been up, in milliseconds. */
  readonly upMs: number;
  /** Time since it has read the list of targets, in milliseconds. */
  readonly listAgeMs: number | undefined;
  /** The versions of the service that it has known within a stream's life. */
  readonly versions: readonly KnownVersion[];
  /** IDs of the hosts that were asked. */
  readonly asked: readonly string[];
  /** What they answered. */
  readonly answers: readonly HostAnswer[];
  /** How much of the record in the store was read; undefined if none was asked. */
  readonly record: RecordState | undefined;
}

/** How much of the record a host has read in time. */
export type RecordState = 'whole' | 'part' | 'none';

/** A version that this host has known. */
export type KnownVersion = Readonly<{
  softwareVersion: string;
  /** Since when, in milliseconds ago. */
  knownMs: number;
}>;

/** What one host has answered. */
export type HostAnswer = Readonly<{
  host: string | undefined;
  began: string | undefined;
  hasSeveral: boolean | undefined;
  /** How old its list of targets was, in milliseconds. */
  listAgeMs: number | undefined;
}>;

/** What may be done with a stream that has begun. */
export type StreamContinuation =
  /** Nothing can be joined wrongly. */
  | {readonly kind: 'anywhere'}
  /** Only targets of this version may go on with it. */
  | {readonly kind: 'at-version'; readonly softwareVersion: string}
  /** The version cannot be learned. */
  | {readonly kind: 'unknown'};

const ANYWHERE: StreamContinuation = {kind: 'anywhere'};
const UNKNOWN: StreamContinuation = {kind: 'unknown'};

/**
 * Versions are those of one service: what has moved to another one is not bound
 * by them.
 *
 * @param service - Service that is to go on with a stream.
 * @param origin - Where it began; undefined if that is not known.
 * @returns What may be done with it.
 */
export function continuationAt(
  service: string,
  origin: StreamOrigin | undefined,
): StreamContinuation {
  if (!origin) return UNKNOWN;
  const {softwareVersion} = origin;
  return origin.service === service
    ? {kind: 'at-version', softwareVersion}
    : ANYWHERE;
}

/**
 * @param answer - Answer of another host.
 * @returns What the log says of it.
 */
export function hostAnswer(answer: StreamVersionAnswer): HostAnswer {
  const {host, began, hasSeveral, listAgeMs} = answer;
  return {host, began: began?.softwareVersion, hasSeveral, listAgeMs};
}

/**
 * @param recorded - What was read of the record; undefined if nothing in time.
 * @returns How much that is.
 */
export function recordState(
  recorded: Pick<RecordedStreams, 'isComplete'> | undefined,
): RecordState {
  if (!recorded) return 'none';
  return recorded.isComplete ? 'whole' : 'part';
}
