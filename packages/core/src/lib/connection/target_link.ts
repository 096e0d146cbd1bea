/**
 * What an entry can ask of a target process. Over the network it is a tRPC
 * connection; in tests and in the demo the two are joined directly.
 */
import type {LoadReport} from '../process/load_report.js';
import type {Order, OrderOutcome} from '../process/order.js';
import type {ServeEvent, ServeRequest} from '../request/serve.js';
import type {TargetConfig} from '../version/target_config.js';

/** The heartbeat that an entry sends. */
export interface Heartbeat {
  readonly entryId: string;
  /** The newest configuration revision that the entry knows. */
  readonly cfgRevision: number;
  /** Sent when the target's last reply had an older revision. */
  readonly cfg?: TargetConfig;
  /**
   * The token of the current holder of orders, read from the table after this
   * boot of the target process was known: an order with a lower one is old.
   */
  readonly orderFence?: {readonly token: number; readonly bootId: string};
}

/** What a target process answers to a heartbeat. */
export interface HeartbeatReply {
  /** Changes with each start of the target process. */
  readonly bootId: string;
  readonly load: LoadReport;
}

/** Thrown by a link whose connection is lost or silent; never by its peer. */
export class LinkLostError extends Error {
  override readonly name = 'LinkLostError';
}

/** A way to one target process. */
export interface TargetLink {
  /**
   * Runs one request. Ending the iteration early, or aborting, cancels it at
   * the target.
   *
   * @throws LinkLostError when the connection is lost: the request may have
   *     run if `started` was seen or the request cannot be known unsent.
   */
  serve(req: ServeRequest, signal: AbortSignal): AsyncIterable<ServeEvent>;
  /** @throws LinkLostError */
  heartbeat(req: Heartbeat, signal: AbortSignal): Promise<HeartbeatReply>;
  /** @throws LinkLostError */
  order(order: Order, signal: AbortSignal): Promise<OrderOutcome>;
}
