/** What a caller says of a request in its headers. */
import {failure, success} from '@oathead/core';
import type {Clock, Outcome, Random, Refusal} from '@oathead/core';
import type {ApiCall} from './api.js';
import {latestEndOf} from './dispatcher.js';

/** What reading the headers needs. */
export interface CallOptionsDeps {
  readonly clock: Clock;
  readonly random: Random;
  /** Deadline of a request that names none, in milliseconds. */
  readonly defaultDeadlineMs: number;
  /** Longest deadline that can be asked for, in milliseconds. */
  readonly maxDeadlineMs: number;
}

/** What a caller says of a request in its headers. */
export interface CallOptions {
  readonly id: string;
  readonly caller: string;
  readonly idempotent: boolean;
  readonly dedupeKey?: string;
  /** Where the answer of a keyed request can be read again. */
  readonly resultId?: string;
  readonly deadline: number;
  readonly traceparent?: string;
}

const KEY = /^[\x21-\x7e]{1,256}$/;
const BOOLEANS: Readonly<Record<string, boolean>> = {true: true, false: false};

/**
 * @param call - A request.
 * @param deps - Clock, names and bounds.
 * @returns What its headers say, or a refusal.
 */
export function callOptions(
  call: ApiCall,
  deps: CallOptionsDeps,
): Outcome<CallOptions, Refusal> {
  const key = call.headers['idempotency-key'];
  if (key !== undefined && !KEY.test(key)) {
    return invalidHeader('idempotency-key', '1 to 256 visible characters');
  }
  const idempotent = BOOLEANS[call.headers['oathead-idempotent'] ?? 'true'];
  if (idempotent === undefined) {
    return invalidHeader('oathead-idempotent', 'true or false');
  }
  const timeoutMs = timeoutOf(call.headers, deps);
  if (!(timeoutMs > 0 && timeoutMs <= deps.maxDeadlineMs)) {
    return invalidHeader('oathead-deadline-ms', `1 to ${deps.maxDeadlineMs}`);
  }
  const traceparent = call.headers['traceparent'];
  return success({
    id: deps.random.id(),
    caller: call.identity.name,
    idempotent,
    deadline: deps.clock.now() + timeoutMs,
    ...(key === undefined
      ? {}
      : {dedupeKey: `${call.identity.name}/${key}`, resultId: key}),
    ...(traceparent === undefined ? {} : {traceparent}),
  });
}

/**
 * @param headers - Headers of a request that has just come.
 * @param deps - Clock and bounds.
 * @returns When it ends at the latest, on the process's clock, in milliseconds.
 */
export function latestEnd(
  headers: Readonly<Record<string, string>>,
  deps: CallOptionsDeps,
): number {
  const timeoutMs = timeoutOf(headers, deps);
  // One that is no number is refused as such, at once.
  return latestEndOf(deps.clock.now() + (timeoutMs > 0 ? timeoutMs : 0));
}

function timeoutOf(
  headers: Readonly<Record<string, string>>,
  {defaultDeadlineMs}: CallOptionsDeps,
): number {
  return Number(headers['oathead-deadline-ms'] ?? defaultDeadlineMs);
}

/**
 * @param id - The request.
 * @param resultId - Where its answer can be read again, if it is kept.
 * @returns Headers that tell the caller both.
 */
export function resultHeaders(
  id: string,
  resultId: string | undefined,
): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {'oathead-request-id': id};
  if (resultId !== undefined) headers['oathead-result-id'] = resultId;
  return headers;
}

function invalidHeader(
  name: string,
  expected: string,
): Outcome<never, Refusal> {
  const message = `expected ${expected}`;
  return failure({
    kind: 'invalid-request',
    message: `${name}: ${message}`,
    ran: 'not-run',
    problems: [{path: name, message}],
  });
}
