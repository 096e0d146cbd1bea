/**
 * Datagrams with which hosts request slots from the coordinator of a data
 * centre.
 */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/**
 * Message type and format version, the first field of each datagram; see
 * `host_socket.ts`. It changes whenever the fields change, so that a message of
 * a host with another release is not misread.
 */
export const PLACEMENT_FORMAT = 12;

const COUNT = z.number().int().nonnegative();

/** Requirements on the slot that is requested. */
const CRITERIA = z.discriminatedUnion('lane', [
  z.object({
    lane: z.literal('online'),
    /** Latency objective and priority; see `WaitDemand`. */
    demand: z.object({
      goalMs: z.number(),
      priority: COUNT,
      returning: z.boolean(),
      /** Absent in requests of hosts with an older release. */
      account: z.string().optional(),
      /** Set only for requests past their latency objective. */
      late: z.boolean().optional(),
      /** Absent in requests of hosts with an older release. */
      isRepeated: z.boolean().optional(),
      /** Set only for requests that are refused without a target. */
      returnWithinMs: z.number().nonnegative().optional(),
      /** Set only for streams that have begun; unknown to older releases. */
      softwareVersion: z.string().optional(),
    }),
    /**
     * Whether the target must be in the data centre of the host that receives
     * the request.
     */
    near: z.boolean(),
  }),
  z.object({
    lane: z.literal('batch'),
    /** How urgent the item is. */
    pressure: z.enum(['relaxed', 'pressed']),
    /** IDs of targets that must not be chosen, because they failed the item. */
    avoided: z.array(z.string()).readonly().default([]),
    /** Set only for items with a part of their text. */
    softwareVersion: z.string().optional(),
  }),
]);

/** Requests a slot. */
const REQUEST = z.object({
  kind: z.literal('ask'),
  /** ID of the process incarnation that sends the request. */
  host: z.string(),
  /** Identifies the request to its sender; the reply repeats it. */
  askId: COUNT,
  service: z.string(),
  wish: CRITERIA,
  /**
   * IDs of targets that must not be chosen, because they just failed a request
   * of this host.
   */
  excluded: z.array(z.string()).readonly(),
});

/**
 * Why no target was granted: there is no room for anybody, or the client
 * account already uses its share of the room.
 */
const FULL_CAUSE = z.enum(['room', 'share']);

/** Reply to a placement request. */
const GRANT = z.object({
  kind: z.literal('grant'),
  askId: COUNT,
  /** ID of the granted target; undefined if none has a free slot. */
  targetId: z.string().optional(),
  /** Set only if there is no target; absent in replies of older releases. */
  cause: FULL_CAUSE.optional(),
  /**
   * When the caller should retry, in milliseconds. Set only if there is no
   * target and the coordinator schedules retries.
   */
  retryAfterMs: COUNT.optional(),
  /**
   * Use and share of the account and the room of all accounts, in slots. Set
   * only if the cause is the share.
   */
  figures: z.object({use: COUNT, share: COUNT, room: COUNT}).optional(),
});

/**
 * Requests a host to preempt batch items at a target, because an online request
 * takes their slots.
 */
const PREEMPTION = z.object({
  kind: z.literal('yield'),
  targetId: z.string(),
  items: COUNT,
});

const MESSAGE = z.discriminatedUnion('kind', [REQUEST, GRANT, PREEMPTION]);
const DATAGRAM = z.tuple([z.literal(PLACEMENT_FORMAT), MESSAGE]);

/** Why no target was granted. */
export type FullCause = z.infer<typeof FULL_CAUSE>;
/** Reply to a placement request. */
export type PlacementGrant = Readonly<z.infer<typeof GRANT>>;
/** Requirements on the slot that is requested. */
export type PlacementCriteria = Readonly<z.infer<typeof CRITERIA>>;
/** Requests a slot. */
export type PlacementRequest = Readonly<z.infer<typeof REQUEST>>;
/** All messages about placement. */
export type PlacementMessage = Readonly<z.infer<typeof MESSAGE>>;

/**
 * @param message - The message.
 * @returns The encoded datagram.
 */
export function encodePlacement(message: PlacementMessage): Uint8Array {
  return pack([PLACEMENT_FORMAT, message]);
}

/**
 * @param datagram - Untrusted bytes from the network.
 * @returns The message; undefined if the datagram is not a valid one.
 */
export function decodePlacement(
  datagram: Uint8Array,
): PlacementMessage | undefined {
  try {
    return DATAGRAM.safeParse(unpack(datagram)).data?.[1];
  } catch {
    // Not msgpack. The caller counts it with all other unreadable datagrams.
    return undefined;
  }
}
