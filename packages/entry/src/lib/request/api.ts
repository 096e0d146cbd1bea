/**
 * Requests of callers and operators, free of sockets: the HTTP server turns
 * what it reads into these, and tests make them directly.
 */
import {REFUSAL_STATUS} from '@oathead/core';
import type {Refusal} from '@oathead/core';

/** A request as the API sees it. */
export interface ApiRequest {
  readonly method: string;
  /** Path without query. */
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** An answer; a body in parts is a stream. */
export interface ApiResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | AsyncIterable<string>;
}

/** Who calls. */
export interface Identity {
  /** Name of the caller's resource. */
  readonly name: string;
  readonly role: 'caller' | 'operator';
}

/** An authenticated request with the parameters of its route. */
export interface ApiCall extends ApiRequest {
  readonly identity: Identity;
  /** Values of the route's `{name}` segments. */
  readonly params: Readonly<Record<string, string>>;
}

const JSON_HEADERS = {'content-type': 'application/json'} as const;
const MS_PER_SECOND = 1000;

/**
 * @param value - Anything that JSON can carry.
 * @param status - HTTP status; 200 by default.
 * @param headers - Further headers.
 * @returns A JSON answer.
 */
export function jsonResponse(
  value: unknown,
  status = 200,
  headers: Readonly<Record<string, string>> = {},
): ApiResponse {
  return {
    status,
    headers: {...JSON_HEADERS, ...headers},
    body: JSON.stringify(value) + '\n',
  };
}

/**
 * @param refusal - Why there is no answer.
 * @returns The refusal as typed JSON, with `oathead-ran` and `retry-after`.
 */
export function refusalResponse(refusal: Refusal): ApiResponse {
  return jsonResponse(
    {error: refusal},
    REFUSAL_STATUS[refusal.kind],
    refusalHeaders(refusal),
  );
}

function refusalHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = {'oathead-ran': refusal.ran};
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    headers['retry-after'] = String(seconds);
  }
  return headers;
}
