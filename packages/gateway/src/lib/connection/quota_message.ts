/** How hosts ask each other whether a request is within its account's quota. */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** The first number of these datagrams; see `host_socket.ts`. It changes with the
 * fields, so that a host of another release is not misread. */
export const QUOTA_FORMAT = 11;

const COUNT = z.number().int().nonnegative();

/** May one more request of an account run? */
const ASK = z.object({
  kind: z.literal('ask'),
  /** The run of the process that asks. */
  host: z.string(),
  /** Names the question to the host that asks. */
  askId: COUNT,
  account: z.string(),
});

/** The answer to a question. */
const ANSWER = z.object({
  kind: z.literal('answer'),
  askId: COUNT,
  /** `elsewhere`: by its own list of hosts another one counts the account. */
  verdict: z.enum(['granted', 'over', 'elsewhere']),
  /** When there is room, in milliseconds from now. */
  waitMs: COUNT,
});

/** A request that was granted did not run. */
const GIVE_BACK = z.object({
  kind: z.literal('give-back'),
  account: z.string(),
});

const MESSAGE = z.discriminatedUnion('kind', [ASK, ANSWER, GIVE_BACK]);
const DATAGRAM = z.tuple([z.literal(QUOTA_FORMAT), MESSAGE]);

/** May one more request of an account run? */
export type QuotaAsk = Readonly<z.infer<typeof ASK>>;
/** The answer to a question. */
export type QuotaAnswer = Readonly<z.infer<typeof ANSWER>>;
/** What hosts say to each other of quotas. */
export type QuotaMessage = Readonly<z.infer<typeof MESSAGE>>;

/**
 * @param message - What to say.
 * @returns The datagram.
 */
export function encodeQuota(message: QuotaMessage): Uint8Array {
  return pack([QUOTA_FORMAT, message]);
}

/**
 * @param datagram - From anyone on the network.
 * @returns What it says; undefined when it is no such message.
 */
export function decodeQuota(datagram: Uint8Array): QuotaMessage | undefined {
  try {
    return DATAGRAM.safeParse(unpack(datagram)).data?.[1];
  } catch {
    // Not msgpack: the caller counts it with all other datagrams that say nothing.
    return undefined;
  }
}
