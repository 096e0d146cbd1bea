/**
 * Encodes the in-flight requests of a host, or of its data centre, as a small
 * datagram.
 */
import {hash32} from '@oathead/core';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import type {HostLoad, HostTargetLoad} from '../process/load_table.js';

/** A decoded load report. */
export interface LoadMessage {
  /** ID of the sending process incarnation; see `Member.id`. */
  readonly host: string;
  /** Data centre of the sender. */
  readonly dataCentre: string;
  /**
   * Increases with each message of a sender. Messages that arrive out of order
   * are dropped.
   */
  readonly sequence: number;
  /**
   * Number of hosts of the data centre that `load` is the sum of; 0 if it is
   * the sender's own load.
   */
  readonly sumOf: number;
  readonly load: HostLoad;
}

const COUNT = z.number().int().nonnegative();
/**
 * Message type and format version, the first field of each message. It changes
 * whenever the fields change, so that a message of a host with another release
 * is not misread; such a host counts as idle until it is upgraded.
 */
export const LOAD_FORMAT = 3;
/**
 * Checks the load entries in a single pass, because each host sends hundreds of
 * numbers a second.
 */
const COUNTS = z.custom<readonly number[]>(isCounts);
const MESSAGE = z.tuple([
  z.literal(LOAD_FORMAT),
  z.string(),
  z.string(),
  COUNT,
  COUNT,
  COUNTS,
]);
/**
 * Number of fields for each target: its key, online requests, batch items, and
 * how many of the batch items are nearly done.
 */
const ENTRY_FIELDS = 4;

/**
 * Shortens a target ID for load messages. An ID is a string of about a dozen
 * bytes, which each message would repeat; its hash takes five. Two targets with
 * the same hash share one load entry, which only makes both look busier.
 *
 * @param targetId - ID of the target.
 * @returns The key of the target in load messages and load tables.
 */
export function targetKey(targetId: string): string {
  return String(hash32(targetId));
}

/**
 * @param message - The load report.
 * @returns The encoded datagram.
 */
export function encodeLoad(message: LoadMessage): Uint8Array {
  const entries = [...message.load].flatMap(
    ([key, {online, batch, nearlyDone = 0}]) => [
      Number(key),
      online,
      batch,
      nearlyDone,
    ],
  );
  const {host, dataCentre, sequence, sumOf} = message;
  return pack([LOAD_FORMAT, host, dataCentre, sequence, sumOf, entries]);
}

/**
 * @param datagram - Untrusted bytes from the network.
 * @returns The load report; undefined if the datagram is not a valid one.
 */
export function decodeLoad(datagram: Uint8Array): LoadMessage | undefined {
  const parsed = MESSAGE.safeParse(tryUnpack(datagram));
  if (!parsed.success) return undefined;
  const [, host, dataCentre, sequence, sumOf, entries] = parsed.data;
  const load = new Map<string, HostTargetLoad>();
  for (let i = 0; i + ENTRY_FIELDS <= entries.length; i += ENTRY_FIELDS) {
    load.set(String(entries[i]), {
      online: entries[i + 1]!,
      batch: entries[i + 2]!,
      nearlyDone: entries[i + 3]!,
    });
  }
  return {host, dataCentre, sequence, sumOf, load};
}

function isCounts(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(count => Number.isSafeInteger(count) && count >= 0)
  );
}

function tryUnpack(datagram: Uint8Array): unknown {
  try {
    return unpack(datagram);
  } catch {
    // Not msgpack. The caller counts it with all other unreadable datagrams.
    return undefined;
  }
}
