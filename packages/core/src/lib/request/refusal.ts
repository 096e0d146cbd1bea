/**
 * Why a request was not answered, and whether it may have run. A refusal is a
 * value on every hop, and typed JSON towards callers.
 */

/**
 * `not-run` is only said where no engine or service can have seen the request.
 */
export type Ran = 'not-run' | 'may-have-run';

/** One thing that is wrong with what was sent. */
export interface Problem {
  /** Where, as a path such as `items.3.maxTokens`. */
  readonly path: string;
  readonly message: string;
}

interface RefusalBase {
  readonly message: string;
  readonly ran: Ran;
  /** When asking again makes sense, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** A refusal, told apart by `kind`. */
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

/** Each way to refuse. */
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

/** Kinds that need no field beyond the common ones. */
export type PlainRefusalKind = Exclude<
  RefusalKind,
  'invalid-request' | 'revision-conflict'
>;

/**
 * @param kind - Why.
 * @param message - What to tell the caller.
 * @param retryAfterMs - When asking again makes sense, in milliseconds.
 * @returns A refusal of a request that no engine or service has seen.
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
 * @param kind - Why.
 * @param message - What to tell the caller.
 * @returns A refusal of a request that an engine or service may have run.
 */
export function mayHaveRun(kind: PlainRefusalKind, message: string): Refusal {
  return {kind, message, ran: 'may-have-run'};
}
