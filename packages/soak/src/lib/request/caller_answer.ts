/** What a caller gets for one online request. */
import type {Readable} from 'node:stream';
import {
  BrokenResponseError,
  ConnectionGoneError,
  MODEL_HEADERS,
  type Caller,
} from '@oathead/platform/stand_ins';
import {readMarks, type MarkedText} from './expected_text.js';
import {isLong, isStream, LONG_ROUTES, type LongKind} from './long_kinds.js';
import type {OnlineKind} from './online_load.js';

/** Why a caller got no whole answer. */
export type CallFailure =
  /** No connection was made: nothing was asked. */
  | 'unconnected'
  /** The connection ended before the answer did. */
  | 'broken';

/** An answer, or what arrived of it. */
export interface CallerAnswer extends MarkedText {
  /** Undefined: there was no whole answer. */
  readonly status: number | undefined;
  /** Why there was none. */
  readonly failure: CallFailure | undefined;
  readonly answeredId: string | undefined;
  readonly seal: string | undefined;
}

/** How much longer callers wait for long requests than their routes let them
 * take, in milliseconds. */
const PATIENCE_MARGIN_MS = 15_000;
const STATUS_OK = 200;
/** Codes of connections that were never made. */
const UNCONNECTED: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * @param caller - Sends the request.
 * @param kind - What it asks for.
 * @param path - Its path.
 * @param headers - Added to those of its kind.
 * @param body - Its body in chunks; in one piece by default.
 * @returns What came of it.
 */
export async function answerOf(
  caller: Caller,
  kind: OnlineKind,
  path: string,
  headers: Readonly<Record<string, string>>,
  body?: Readable,
): Promise<CallerAnswer> {
  const all = {
    ...(isLong(kind) ? {'x-deadline-ms': String(patienceMs(kind))} : {}),
    ...(isStream(kind) ? MODEL_HEADERS : {}),
    ...headers,
  };
  try {
    const answer = await caller.post(path, all, body);
    return {
      status: answer.status,
      failure: undefined,
      ...readMarks(answer.text),
      answeredId: textOf(answer.headers['x-attempt-id']),
      seal: textOf(answer.headers['x-server-seal']),
    };
  } catch (err) {
    // Callers see it as no answer; the promises say when that is allowed.
    return {
      status: undefined,
      failure: isUnconnected(err) ? 'unconnected' : 'broken',
      ...readMarks(partOf(err)),
      answeredId: undefined,
      seal: undefined,
    };
  }
}

function patienceMs(kind: LongKind): number {
  return LONG_ROUTES[kind].timeoutMs + PATIENCE_MARGIN_MS;
}

/** @returns The part of a successful answer that arrived. */
function partOf(err: unknown): string {
  const isPart = err instanceof BrokenResponseError;
  return isPart && err.status === STATUS_OK ? err.text : '';
}

function isUnconnected(err: unknown): boolean {
  return err instanceof ConnectionGoneError || UNCONNECTED.has(codeOf(err));
}

function codeOf(err: unknown): unknown {
  return err instanceof Error && 'code' in err ? err.code : undefined;
}

function textOf(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
