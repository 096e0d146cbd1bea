/** A host's requests in flight, as one small datagram to each other host. */
import {hash32} from '@oathead/core';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';
import type {HostLoad, TargetLoad} from '../process/load_table.js';

/** What a datagram says. */
export interface LoadMessage {
  /** The sender's run; see `Member.id`. */
  readonly host: string;
  /** Grows with each message of the sender: late ones are dropped. */
  readonly sequence: number;
  readonly load: HostLoad;
}

const COUNT = z.number().int().nonnegative();
const MESSAGE = z.tuple([z.string(), COUNT, z.array(COUNT)]);
/** A target's entry: its key, online requests, items of batch jobs. */
const ENTRY_FIELDS = 3;

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
  const flat = [...message.load].flatMap(([key, {online, batch}]) => [
    Number(key),
    online,
    batch,
  ]);
  return pack([message.host, message.sequence, flat]);
}

/**
 * @param datagram - From anyone on the network.
 * @returns What it says; undefined when it is no such message.
 */
export function decodeLoad(datagram: Uint8Array): LoadMessage | undefined {
  const parsed = MESSAGE.safeParse(unpacked(datagram));
  if (!parsed.success) return undefined;
  const [host, sequence, flat] = parsed.data;
  const load = new Map<string, TargetLoad>();
  for (let i = 0; i + ENTRY_FIELDS <= flat.length; i += ENTRY_FIELDS)
    load.set(String(flat[i]), {online: flat[i + 1]!, batch: flat[i + 2]!});
  return {host, sequence, load};
}

function unpacked(datagram: Uint8Array): unknown {
  try {
    return unpack(datagram);
  } catch {
    // Not msgpack: the caller counts it with all other datagrams that say nothing.
    return undefined;
  }
}
