/** Requests in flight of a host or of its data centre, as one small datagram. */
import {hash32} from '@oathead/core';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import type {HostLoad, HostTargetLoad} from '../process/load_table.js';

/** What a datagram says. */
export interface LoadMessage {
  /** The sender's run; see `Member.id`. */
  readonly host: string;
  /** The sender's data centre. */
  readonly dataCentre: string;
  /** Grows with each message of the sender: late ones are dropped. */
  readonly sequence: number;
  /** Over how many hosts of the data centre `load` is the sum; 0: it is the
   * sender's own. */
  readonly sumOf: number;
  readonly load: HostLoad;
}

const COUNT = z.number().int().nonnegative();
/** The first field of each message. It changes with the fields: a host of another
 * release is not misread, it counts as idle until it is replaced. */
export const LOAD_FORMAT = 3;
/** Hundreds of numbers a second from each host: one look at each, and no more. */
const COUNTS = z.custom<readonly number[]>(isCounts);
const MESSAGE = z.tuple([
  z.literal(LOAD_FORMAT),
  z.string(),
  z.string(),
  COUNT,
  COUNT,
  COUNTS,
]);
/** A target's entry: its key, online requests, items of batch jobs, and how
 * many of these are nearly done. */
const ENTRY_FIELDS = 4;

/**
 * A target's id is a text of a dozen bytes that stands in each message; its
 * hash has five. Two targets with one hash would share their load, which only
 * makes both look busier.
 *
 * @param targetId - The id of a target.
 * @returns What stands for it in loads.
 */
export function targetKey(targetId: string): string {
  return String(hash32(targetId));
}

/**
 * @param message - What to say.
 * @returns The datagram.
 */
export function encodeLoad(message: LoadMessage): Uint8Array {
  const flat = [...message.load].flatMap(
    ([key, {online, batch, nearlyDone = 0}]) => [
      Number(key),
      online,
      batch,
      nearlyDone,
    ],
  );
  const {host, dataCentre, sequence, sumOf} = message;
  return pack([LOAD_FORMAT, host, dataCentre, sequence, sumOf, flat]);
}

/**
 * @param datagram - From anyone on the network.
 * @returns What it says; undefined when it is no such message.
 */
export function decodeLoad(datagram: Uint8Array): LoadMessage | undefined {
  const parsed = MESSAGE.safeParse(unpacked(datagram));
  if (!parsed.success) return undefined;
  const [, host, dataCentre, sequence, sumOf, flat] = parsed.data;
  const load = new Map<string, HostTargetLoad>();
  for (let i = 0; i + ENTRY_FIELDS <= flat.length; i += ENTRY_FIELDS) {
    load.set(String(flat[i]), {
      online: flat[i + 1]!,
      batch: flat[i + 2]!,
      nearlyDone: flat[i + 3]!,
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

function unpacked(datagram: Uint8Array): unknown {
  try {
    return unpack(datagram);
  } catch {
    // Not msgpack: the caller counts it with all other datagrams that say nothing.
    return undefined;
  }
}
