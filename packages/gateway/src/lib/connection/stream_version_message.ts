/**
 * Datagrams with which hosts tell and ask each other at which software version
 * a stream began.
 */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/**
 * Message type and format version, the first field of each datagram; see
 * `host_socket.ts`. It changes whenever the fields change, so that a message of
 * a host with another release is not misread; a host that does not know the
 * type ignores it.
 */
export const STREAM_VERSION_FORMAT = 15;

/** Maximum number of streams in a datagram. */
export const MAX_TOLD_STREAMS = 24;
const MAX_NAME_LENGTH = 200;

const NAME = z.string().min(1).max(MAX_NAME_LENGTH);
const COUNT = z.number().int().nonnegative();

/** ID of the stream, service, and version of the target that began it. */
const STREAM = z.tuple([NAME, NAME, NAME]);

/** Tells where streams of the sender began. */
const TOLD = z.object({
  kind: z.literal('told'),
  streams: z.array(STREAM).max(MAX_TOLD_STREAMS).readonly(),
});

/** Asks where a stream began. */
const ASK = z.object({
  kind: z.literal('ask'),
  /** ID of the process incarnation that sends the request. */
  host: NAME,
  /** Identifies the request to its sender; the answer repeats it. */
  askId: COUNT,
  service: NAME,
  stream: NAME,
});

/** Answer to such a request. */
const ANSWER = z.object({
  kind: z.literal('answer'),
  askId: COUNT,
  /** Set if the answering host knows the stream. */
  began: z.object({service: NAME, softwareVersion: NAME}).optional(),
  /**
   * Whether it reads the list and has seen several versions; absent in answers
   * of a host of an earlier release.
   */
  hasSeveral: z.boolean().optional(),
  /** ID of the process incarnation that answers; absent in earlier releases. */
  host: NAME.optional(),
  /**
   * Time since it has read the list of targets, in milliseconds; absent if it
   * has never read it, and in earlier releases.
   */
  listAgeMs: COUNT.optional(),
});

const MESSAGE = z.discriminatedUnion('kind', [TOLD, ASK, ANSWER]);
const DATAGRAM = z.tuple([z.literal(STREAM_VERSION_FORMAT), MESSAGE]);

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** ID of a stream, service, and version of the target that began it. */
export type ToldStream = z.infer<typeof STREAM>;
/** Asks where a stream began. */
export type StreamVersionAsk = Readonly<z.infer<typeof ASK>>;
/** Answer to such a request. */
export type StreamVersionAnswer = Readonly<z.infer<typeof ANSWER>>;
/** All messages about the versions of streams. */
export type StreamVersionMessage = Readonly<z.infer<typeof MESSAGE>>;

/**
 * @param message - The message.
 * @returns The encoded datagram.
 */
export function encodeStreamVersion(message: StreamVersionMessage): Uint8Array {
  return pack([STREAM_VERSION_FORMAT, message]);
}

/**
 * @param datagram - Untrusted bytes from the network.
 * @returns The message; undefined if the datagram is not a valid one.
 */
export function decodeStreamVersion(
  datagram: Uint8Array,
): StreamVersionMessage | undefined {
  try {
    return DATAGRAM.safeParse(unpack(datagram)).data?.[1];
  } catch {
    // Not msgpack. The caller counts it with all other unreadable datagrams.
    return undefined;
  }
}
