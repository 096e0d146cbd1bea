/**
 * Datagrams with which hosts ask the quota owner of an account whether a
 * request is within the quota.
 */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/**
 * Message type and format version, the first field of each datagram; see
 * `host_socket.ts`. It changes whenever the fields change, so that a message of
 * a host with another release is not misread.
 */
export const QUOTA_FORMAT = 11;

const COUNT = z.number().int().nonnegative();

/** Asks whether one more request of an account may run. */
const REQUEST = z.object({
  kind: z.literal('ask'),
  /** ID of the process incarnation that sends the request. */
  host: z.string(),
  /** Identifies the request to its sender; the reply repeats it. */
  askId: COUNT,
  account: z.string(),
  /** Whether the caller returns after a refusal. */
  returning: z.boolean().optional(),
  /**
   * Longest time after which the caller would return, in milliseconds, if it
   * would be recognized then.
   */
  maxWaitMs: COUNT.optional(),
  /** Tells the request apart from others of the account. */
  key: COUNT.optional(),
  /** Whether the host is asked as the reserve keeper of the account. */
  reserve: z.boolean().optional(),
});

/** Reply to a quota request. */
const REPLY = z.object({
  kind: z.literal('answer'),
  askId: COUNT,
  /**
   * `elsewhere`: in the host list of the replying host, another host is the
   * quota owner of the account.
   */
  verdict: z.enum(['granted', 'over', 'elsewhere']),
  /** Time until the quota allows another request, in milliseconds. */
  waitMs: COUNT,
  /** Whether room is reserved for the caller if it returns then. */
  reserved: z.boolean().optional(),
});

/** Refunds a granted request that did not run. */
const REFUND = z.object({
  kind: z.literal('give-back'),
  account: z.string(),
  /** Time since the grant, in milliseconds. */
  ageMs: COUNT.optional(),
  /**
   * Time until the caller returns, in milliseconds; absent if it does not, and
   * in messages of hosts with an older release.
   */
  returnsInMs: COUNT.optional(),
  /** Tells the request apart from others of the account. */
  key: COUNT.optional(),
});

const MESSAGE = z.discriminatedUnion('kind', [REQUEST, REPLY, REFUND]);
const DATAGRAM = z.tuple([z.literal(QUOTA_FORMAT), MESSAGE]);

/** Asks whether one more request of an account may run. */
export type QuotaRequest = Readonly<z.infer<typeof REQUEST>>;
/** Reply to a quota request. */
export type QuotaReply = Readonly<z.infer<typeof REPLY>>;
/** A granted request that did not run. */
export type GrantRefund = Pick<
  Readonly<z.infer<typeof REFUND>>,
  'ageMs' | 'returnsInMs' | 'key'
>;
/** All messages about quotas. */
export type QuotaMessage = Readonly<z.infer<typeof MESSAGE>>;

/**
 * @param message - The message.
 * @returns The encoded datagram.
 */
export function encodeQuota(message: QuotaMessage): Uint8Array {
  return pack([QUOTA_FORMAT, message]);
}

/**
 * @param datagram - Untrusted bytes from the network.
 * @returns The message; undefined if the datagram is not a valid one.
 */
export function decodeQuota(datagram: Uint8Array): QuotaMessage | undefined {
  try {
    return DATAGRAM.safeParse(unpack(datagram)).data?.[1];
  } catch {
    // Not msgpack. The caller counts it with all other unreadable datagrams.
    return undefined;
  }
}
