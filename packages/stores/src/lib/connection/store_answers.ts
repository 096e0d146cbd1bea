/** Checks of what a store answers over HTTP. */
import {failure, success, type Outcome} from '@oathead/core';
import {z} from 'zod';
import type {Json, StoreError} from '../process/table_store.js';
import type {
  StoreConnection,
  StoreRequest,
  StoreResponse,
} from './store_connection.js';

/** What JSON carries needs no further check. */
const JSON_SCHEMA = z.custom<Json>(value => value !== undefined);

const ROW_SCHEMA = z.object({
  key: z.string(),
  value: JSON_SCHEMA,
  version: z.number().int().positive(),
});

/** Answer to a read by keys; null where there is no row. */
export const READ_SCHEMA = z.object({rows: z.array(ROW_SCHEMA.nullable())});

/** Answer to a listing. */
export const LIST_SCHEMA = z.object({rows: z.array(ROW_SCHEMA)});

/** Answer to a transaction. */
export const COMMITTED_SCHEMA = z.object({
  versions: z.record(z.string(), z.number().int().positive()),
});

/** Answer about one set of weights; null where there is none. */
export const WEIGHT_SCHEMA = z.object({
  weight: z.object({name: z.string(), bytes: z.number()}).nullable(),
});

/** Answer about the rate of the weight store. */
export const LOADS_SCHEMA = z.object({concurrentLoads: z.number().int()});

/** Answer of the host list. */
export const HOSTS_SCHEMA = z.object({
  hosts: z.array(
    z.object({
      id: z.string(),
      role: z.enum(['entry', 'target']),
      address: z.string(),
      dataCentre: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Body of an answer that tells why there is no result. */
const ERROR_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('unavailable'),
    applied: z.enum(['no', 'unknown']),
    message: z.string(),
  }),
  z.object({
    kind: z.literal('conflict'),
    key: z.string(),
    version: z.number().int().nonnegative(),
  }),
  z.object({kind: z.literal('throttled'), retryAfterMs: z.number()}),
]);

const FIRST_ERROR_STATUS = 300;
const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * @param connection - Where to ask.
 * @param req - What to ask.
 * @param schema - What the answer must be.
 * @returns The checked answer, or why there is none.
 */
export async function callJson<T>(
  connection: StoreConnection,
  req: StoreRequest,
  schema: z.ZodType<T>,
): Promise<Outcome<T, StoreError>> {
  const res = await callBytes(connection, req);
  if (!res.ok) return res;
  const parsed = schema.safeParse(parseJson(res.value));
  if (parsed.success) return success(parsed.data);
  return failure(malformed(req, z.prettifyError(parsed.error)));
}

/**
 * @param connection - Where to ask.
 * @param req - What to ask.
 * @returns The body of a good answer, or why there is none.
 */
export async function callBytes(
  connection: StoreConnection,
  req: StoreRequest,
): Promise<Outcome<Uint8Array, StoreError>> {
  const res = await connection.call(req);
  return res.ok ? checkStatus(req, res.value) : res;
}

/**
 * @param req - What was asked.
 * @param res - What came back.
 * @returns The body of a good answer, or why there is none.
 */
export function checkStatus(
  req: StoreRequest,
  res: StoreResponse,
): Outcome<Uint8Array, StoreError> {
  if (res.status < FIRST_ERROR_STATUS) return success(res.body);
  return failure(readError(req, res));
}

function readError(req: StoreRequest, res: StoreResponse): StoreError {
  const parsed = ERROR_SCHEMA.safeParse(parseJson(res.body));
  if (parsed.success) return parsed.data;
  // What stands between us and the store may have answered in its place after
  // it had passed the write on, so only a refusal of the request is certain.
  const {status} = res;
  const message = `${req.method} ${req.path}: status ${status}`;
  const certain = !req.writes || status < FIRST_SERVER_ERROR_STATUS;
  return {kind: 'unavailable', applied: certain ? 'no' : 'unknown', message};
}

function malformed(req: StoreRequest, problem: string): StoreError {
  return {
    kind: 'unavailable',
    applied: req.writes ? 'unknown' : 'no',
    message: `${req.method} ${req.path}: ${problem}`,
  };
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    return undefined;
  }
}
