/** How hosts ask the coordinator of their data centre for places, as datagrams. */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** The first number of these datagrams; see `host_socket.ts`. It changes with the
 * fields, so that a host of another release is not misread. */
export const PLACEMENT_FORMAT = 12;

const COUNT = z.number().int().nonnegative();

/** What a place is for. */
const WISH = z.discriminatedUnion('lane', [
  z.object({
    lane: z.literal('online'),
    /** See `WaitDemand`. */
    demand: z.object({
      goalMs: z.number(),
      priority: COUNT,
      returning: z.boolean(),
    }),
    /** Whether only targets of the data centre of who is asked will do. */
    near: z.boolean(),
  }),
  z.object({
    lane: z.literal('batch'),
    /** Whether the item is due soon. */
    pressure: z.enum(['relaxed', 'pressed']),
  }),
]);

/** A place is asked for. */
const ASK = z.object({
  kind: z.literal('ask'),
  /** The run of the process that asks. */
  host: z.string(),
  /** Names the question to the host that asks. */
  askId: COUNT,
  service: z.string(),
  wish: WISH,
  /** Targets by id that are out of the question: they have just failed the host. */
  excluded: z.array(z.string()).readonly(),
});

/** The answer to a question. */
const GRANT = z.object({
  kind: z.literal('grant'),
  askId: COUNT,
  /** Undefined: none has room now. */
  targetId: z.string().optional(),
});

/** Items of batch jobs have to end, since an online request takes their place. */
const YIELD = z.object({
  kind: z.literal('yield'),
  targetId: z.string(),
  items: COUNT,
});

const MESSAGE = z.discriminatedUnion('kind', [ASK, GRANT, YIELD]);
const DATAGRAM = z.tuple([z.literal(PLACEMENT_FORMAT), MESSAGE]);

/** What a place is for. */
export type PlaceWish = Readonly<z.infer<typeof WISH>>;
/** A place is asked for. */
export type PlaceAsk = Readonly<z.infer<typeof ASK>>;
/** What hosts say to each other of places. */
export type PlacementMessage = Readonly<z.infer<typeof MESSAGE>>;

/**
 * @param message - What to say.
 * @returns The datagram.
 */
export function encodePlacement(message: PlacementMessage): Uint8Array {
  return pack([PLACEMENT_FORMAT, message]);
}

/**
 * @param datagram - From anyone on the network.
 * @returns What it says; undefined when it is no such message.
 */
export function decodePlacement(
  datagram: Uint8Array,
): PlacementMessage | undefined {
  try {
    return DATAGRAM.safeParse(unpack(datagram)).data?.[1];
  } catch {
    // Not msgpack: the caller counts it with all other datagrams that say nothing.
    return undefined;
  }
}
