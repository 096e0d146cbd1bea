/** What an operator's configuration says of routes: one version, read-only. */
import type {AccountTable} from './account_table.js';

/** What a route carries. */
export type RouteKind = 'call' | 'stream' | 'batch';

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host name and path prefix. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a request may run more than once, from its start. */
  readonly idempotent: boolean;
  /** Whether a cut stream may go on at another target. */
  readonly resumable: boolean;
  /** How long a request may take, in milliseconds. */
  readonly timeoutMs: number;
  /** When an answer, or a stream's first event, is on time, in milliseconds. */
  readonly goalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** At how many targets one request may run. */
  readonly maxAttempts: number;
  readonly services: readonly WeightedService[];
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** When a batch job's results are due after it was sent, in milliseconds. */
  readonly completionGoalMs: number;
  /** When an item of a batch job may be given up, in milliseconds. */
  readonly retentionMs: number;
}

/** What a caller may send, and how long it may take. */
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
  /** Undefined: callers need no keys. */
  readonly accounts: AccountTable | undefined;
}
