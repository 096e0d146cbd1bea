/**
 * Refusals: why a request was not answered, and whether it may have run. A
 * refusal is passed as a value on every hop, and as typed JSON to callers.
 */

/**
 * Whether a refused request may have run. `not-run` is used only where no
 * engine or service can have received the request.
 */
export type RunStatus = 'not-run' | 'may-have-run';

/** One validation error in a request. */
export interface Problem {
  /** Location of the error, as a path such as `items.3.maxTokens`. */
  readonly path: string;
  readonly message: string;
}

interface RefusalBase {
  readonly message: string;
  readonly ran: RunStatus;
  /** Delay after which a retry makes sense, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** A refusal, discriminated by `kind`. */
export type Refusal = RefusalBase &
  (
    | {readonly kind: 'invalid-request'; readonly problems?: readonly Problem[]}
    | {readonly kind: 'revision-conflict'; readonly currentVersion: number}
    | {
        readonly kind:
          | 'unauthorized'
          | 'forbidden'
          | 'not-found'
          | 'too-large'
          | 'key-conflict'
          | 'rate-limited'
          | 'overloaded'
          | 'no-target'
          | 'leaving'
          | 'deadline-exceeded'
          | 'store-unavailable'
          | 'suspect'
          | 'engine-failed'
          | 'target-lost'
          | 'outcome-unknown'
          | 'fenced'
          | 'cancelled'
          | 'gone'
          | 'internal';
      }
  );

/** Kinds of refusal. */
export type RefusalKind = Refusal['kind'];

/** HTTP status of each kind of refusal. */
export const REFUSAL_STATUS: Readonly<Record<RefusalKind, number>> = {
  'invalid-request': 400,
  unauthorized: 401,
  forbidden: 403,
  'not-found': 404,
  'key-conflict': 409,
  'outcome-unknown': 409,
  gone: 410,
  'revision-conflict': 412,
  'too-large': 413,
  suspect: 422,
  'rate-limited': 429,
  cancelled: 499,
  internal: 500,
  'engine-failed': 502,
  'target-lost': 502,
  overloaded: 503,
  'no-target': 503,
  leaving: 503,
  'store-unavailable': 503,
  fenced: 503,
  'deadline-exceeded': 504,
};

/** Kinds without additional fields. */
export type PlainRefusalKind = Exclude<
  RefusalKind,
  'invalid-request' | 'revision-conflict'
>;

/**
 * @param kind - Kind of the refusal.
 * @param message - Explanation for the caller.
 * @param retryAfterMs - Delay after which a retry makes sense, in milliseconds.
 * @returns A refusal of a request that no engine or service has received.
 */
export function notRun(
  kind: PlainRefusalKind,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return {
    kind,
    message,
    ran: 'not-run',
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
}

/**
 * @param kind - Kind of the refusal.
 * @param message - Explanation for the caller.
 * @returns A refusal of a request that an engine or service may have run.
 */
export function mayHaveRun(kind: PlainRefusalKind, message: string): Refusal {
  return {kind, message, ran: 'may-have-run'};
}
