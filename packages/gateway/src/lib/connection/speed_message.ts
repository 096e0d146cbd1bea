/**
 * Datagrams with which hosts tell each other what their runs have shown of the
 * speeds of targets.
 */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/**
 * Message type and format version, the first field of each datagram; see
 * `host_socket.ts`. It changes whenever the fields change, so that a message of
 * a host with another release is not misread; a host that does not know the
 * type ignores it.
 */
export const SPEED_FORMAT = 14;

/** Maximum number of entries in a datagram, which take about 11 bytes each. */
export const MAX_SPEED_ENTRIES = 32;

/** Logarithms travel as integers, in thousandths. */
const LOG_UNITS = 1000;
/** Largest logarithm of a time relative to the service. */
const MAX_LOG = 5;
/** Largest number of measured parts of runs in an entry. */
const MAX_COUNT = 1000;
const MAX_NAME_LENGTH = 200;

const NAME = z.string().min(1).max(MAX_NAME_LENGTH);
/**
 * Load key of the target, thousandths of a logarithm, number of measured parts
 * of runs, and whether the target was nearly full.
 */
const ENTRY = z.tuple([
  z.number().int().nonnegative(),
  z
    .number()
    .int()
    .min(-MAX_LOG * LOG_UNITS)
    .max(MAX_LOG * LOG_UNITS),
  z.number().int().positive().max(MAX_COUNT),
  z.boolean(),
]);
const MESSAGE = z.tuple([
  z.literal(SPEED_FORMAT),
  NAME,
  z.number().int().nonnegative(),
  NAME,
  z.array(ENTRY).max(MAX_SPEED_ENTRIES),
]);

/** What the runs of one host at one target have shown. */
export interface SpeedEntry {
  /** Load key of the target. */
  readonly key: string;
  /** Mean logarithm of their times, relative to the service. */
  readonly logRatio: number;
  /** Number of measured parts of runs. */
  readonly count: number;
  /** Whether the target was nearly full. */
  readonly nearlyFull: boolean;
}

/** What the runs of one host at the targets of a service have shown. */
export interface SpeedMessage {
  /** ID of the sending process incarnation; see `Member.id`. */
  readonly host: string;
  /**
   * Increases with each message of a sender. Messages that arrive twice or out
   * of order are dropped.
   */
  readonly sequence: number;
  readonly service: string;
  readonly entries: readonly SpeedEntry[];
}

/**
 * @param message - The message, with {@link MAX_SPEED_ENTRIES} at most.
 * @returns The encoded datagram.
 */
export function encodeSpeeds(message: SpeedMessage): Uint8Array {
  const {host, sequence, service, entries} = message;
  const packed = entries.map(({key, logRatio, count, nearlyFull}) => [
    Number(key),
    Math.round(Math.max(-MAX_LOG, Math.min(MAX_LOG, logRatio)) * LOG_UNITS),
    Math.min(count, MAX_COUNT),
    nearlyFull,
  ]);
  return pack([SPEED_FORMAT, host, sequence, service, packed]);
}

/**
 * @param datagram - Untrusted bytes from the network.
 * @returns The message; undefined if the datagram is not a valid one.
 */
export function decodeSpeeds(datagram: Uint8Array): SpeedMessage | undefined {
  const parsed = MESSAGE.safeParse(tryUnpack(datagram));
  if (!parsed.success) return undefined;
  const [, host, sequence, service, entries] = parsed.data;
  return {
    host,
    sequence,
    service,
    entries: entries.map(([key, log, count, nearlyFull]) => ({
      key: String(key),
      logRatio: log / LOG_UNITS,
      count,
      nearlyFull,
    })),
  };
}

function tryUnpack(datagram: Uint8Array): unknown {
  try {
    return unpack(datagram);
  } catch {
    // Not msgpack. The caller counts it with all other unreadable datagrams.
    return undefined;
  }
}
