/**
 * Interface through which an entry communicates with a target process. Over the
 * network it is a tRPC connection; tests and the demo connect the two directly.
 */
import type {LoadReport} from '../process/load_report.js';
import type {Order, OrderOutcome} from '../process/order.js';
import type {ServeEvent, ServeRequest} from '../request/serve.js';
import type {TargetConfig} from '../version/target_config.js';

/** Heartbeat that an entry sends to a target process. */
export interface Heartbeat {
  readonly entryId: string;
  /** Latest configuration revision that the entry has. */
  readonly cfgRevision: number;
  /** Configuration, sent when the target's last reply had an older revision. */
  readonly cfg?: TargetConfig;
  /**
   * Fencing token of the current holder of the lease for orders, read from the
   * table after the entry learnt this boot ID of the target process. Orders
   * with a lower token are stale.
   */
  readonly orderFence?: {readonly token: number; readonly bootId: string};
}

/** Reply of a target process to a heartbeat. */
export interface HeartbeatReply {
  /**
   * ID of the process incarnation; changes with each start of the target
   * process.
   */
  readonly bootId: string;
  readonly load: LoadReport;
}

/**
 * Thrown by a link whose connection is lost or stalled; never by the remote
 * end.
 */
export class LinkLostError extends Error {
  override readonly name = 'LinkLostError';
}

/** Connection to one target process. */
export interface TargetLink {
  /**
   * Runs one request. Ending the iteration early, or aborting, cancels it at
   * the target.
   *
   * @param req - The request.
   * @param signal - Cancels the request when aborted.
   * @returns The events of the request, the last of which is its outcome.
   * @throws LinkLostError if the connection is lost. The request may have run
   *     if `started` was received, or if it is uncertain whether it was sent.
   */
  serve(req: ServeRequest, signal: AbortSignal): AsyncIterable<ServeEvent>;
  /** @throws LinkLostError if the connection is lost. */
  heartbeat(req: Heartbeat, signal: AbortSignal): Promise<HeartbeatReply>;
  /** @throws LinkLostError if the connection is lost. */
  order(order: Order, signal: AbortSignal): Promise<OrderOutcome>;
}
