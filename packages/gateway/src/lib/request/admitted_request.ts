/** A request of a caller that passed admission. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClientAccount} from '@oathead/core';
import type {Route} from '../version/routing_table.js';

/** An admitted request with its route and account. */
export interface AdmittedRequest {
  readonly req: IncomingMessage;
  /** The response to the caller. */
  readonly res: ServerResponse;
  readonly route: Route;
  /** The complete request body. */
  readonly body: Buffer;
  /**
   * When the request headers were received, on the monotonic clock, in
   * milliseconds.
   */
  readonly startedAt: number;
  /** The account of the caller; undefined if it sent no key. */
  readonly account: ClientAccount | undefined;
  /**
   * Time of its quota grant on the monotonic clock, in milliseconds; undefined
   * if the account has no quota.
   */
  readonly grantedAt?: number | undefined;
  /** Fingerprint of path and body, which are the same when a caller returns. */
  readonly fingerprint: string;
  /** Whether the caller returns after a refusal. */
  readonly returning: boolean;
}
