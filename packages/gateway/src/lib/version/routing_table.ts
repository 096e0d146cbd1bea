/** Routes of an operator's configuration: one immutable version. */
import type {AccountTable} from './account_table.js';

/** Kind of request that a route serves. */
export type RouteKind = 'call' | 'stream' | 'batch';

/** A service and its share of the requests of a route. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route: all requests with a given host name and path prefix. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a request may be run again from the start. */
  readonly idempotent: boolean;
  /** Whether an interrupted stream may be resumed at another target. */
  readonly resumable: boolean;
  /** Maximum duration of a request, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Latency objective for a response, or for the first event of a stream, in
   * milliseconds.
   */
  readonly goalMs: number;
  /** Scheduling priority; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of targets at which one request may run. */
  readonly maxAttempts: number;
  readonly services: readonly WeightedService[];
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /**
   * Completion objective of a batch job, in milliseconds after its submission.
   */
  readonly completionGoalMs: number;
  /**
   * Time after which an item of a batch job may be dropped, in milliseconds.
   */
  readonly retentionMs: number;
}

/** Limits on callers' requests. */
export interface CallerBounds {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly bounds: CallerBounds;
  /** Undefined if callers need no keys. */
  readonly accounts: AccountTable | undefined;
}
