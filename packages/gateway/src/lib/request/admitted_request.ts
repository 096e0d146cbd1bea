/** A caller's request that was admitted. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClientAccount} from '@oathead/core';
import type {Route} from '../version/routing_table.js';

/** A request, and what was found out of it. */
export interface AdmittedRequest {
  readonly req: IncomingMessage;
  /** Where its answer goes. */
  readonly res: ServerResponse;
  readonly route: Route;
  /** The caller's body, whole. */
  readonly body: Buffer;
  /** When its head had come, on the steady clock. */
  readonly startedAt: number;
  /** Whose request it is. */
  readonly account: ClientAccount | undefined;
}
