/** Schemas and validation of the HTTP responses of the platform. */
import {failure, success, type Outcome} from '@oathead/core';
import {z} from 'zod';
import type {Json, StoreError} from '../process/table_store.js';
import type {
  StoreConnection,
  StoreRequest,
  StoreResponse,
} from './store_connection.js';

/** Any parsed JSON value is valid; only a missing value is rejected. */
const JSON_SCHEMA = z.custom<Json>(value => value !== undefined);

const ROW_SCHEMA = z.object({
  key: z.string(),
  value: JSON_SCHEMA,
  version: z.number().int().positive(),
});

/** Response to a read by keys; null for each key without a row. */
export const READ_SCHEMA = z.object({rows: z.array(ROW_SCHEMA.nullable())});

/** Response to a listing. */
export const LIST_SCHEMA = z.object({rows: z.array(ROW_SCHEMA)});

/** Response to a transaction: the new versions of the rows, by key. */
export const COMMITTED_SCHEMA = z.object({
  versions: z.record(z.string(), z.number().int().positive()),
});

/** Response with the metadata of one set of weights; null if unknown. */
export const WEIGHT_SCHEMA = z.object({
  weight: z.object({name: z.string(), bytes: z.number()}).nullable(),
});

/** Response with the number of concurrent loads the weight store allows. */
export const CONCURRENT_LOADS_SCHEMA = z.object({
  concurrentLoads: z.number().int(),
});

/** Response of the host list. */
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

/** Body of an error response. */
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
 * Sends a request and validates the JSON body of the response.
 *
 * @param connection - Connection to the service.
 * @param req - The request.
 * @param schema - Schema of the response body.
 * @returns The validated body. A failed call, an error status and a body that
 *     does not match the schema are returned as errors.
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
  return failure(toMalformedResponseError(req, z.prettifyError(parsed.error)));
}

/**
 * Sends a request and checks the status of the response.
 *
 * @param connection - Connection to the service.
 * @param req - The request.
 * @returns The response body, or an error if the call failed or the response
 *     has an error status.
 */
export async function callBytes(
  connection: StoreConnection,
  req: StoreRequest,
): Promise<Outcome<Uint8Array, StoreError>> {
  const res = await connection.call(req);
  return res.ok ? checkStatus(req, res.value) : res;
}

/**
 * Converts a response with an error status to an error.
 *
 * @param req - The request.
 * @param res - The response.
 * @returns The response body, or an error if the status is 300 or above.
 */
export function checkStatus(
  req: StoreRequest,
  res: StoreResponse,
): Outcome<Uint8Array, StoreError> {
  if (res.status < FIRST_ERROR_STATUS) return success(res.body);
  return failure(toStoreError(req, res));
}

function toStoreError(req: StoreRequest, res: StoreResponse): StoreError {
  const parsed = ERROR_SCHEMA.safeParse(parseJson(res.body));
  if (parsed.success) return parsed.data;
  // A response without the error body of the store may come from a proxy that
  // had already forwarded the write. Only a status below 500 rejects the request
  // itself and so shows that the write was not applied.
  const {status} = res;
  const message = `${req.method} ${req.path}: status ${status}`;
  const notApplied = !req.writes || status < FIRST_SERVER_ERROR_STATUS;
  return {kind: 'unavailable', applied: notApplied ? 'no' : 'unknown', message};
}

function toMalformedResponseError(
  req: StoreRequest,
  problem: string,
): StoreError {
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
