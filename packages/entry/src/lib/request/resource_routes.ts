/** Routes on which operators declare and watch. */
import {watchFrame} from '@oathead/config';
import type {ResourceApi, ResourceRequest, WatchEvent} from '@oathead/config';
import type {Outcome, Refusal} from '@oathead/core';
import {success} from '@oathead/core';
import {jsonResponse, refusalResponse} from './api.js';
import type {ApiCall, ApiResponse} from './api.js';
import {parseJson} from './body.js';
import type {Route} from './router.js';

/** What the operators' routes need. */
export interface ResourceRouteDeps {
  readonly api: ResourceApi;
  /** What `GET /v1/status` answers. */
  readonly status: () => Promise<unknown>;
}

const PATHS = [
  ['GET', '/v1/resources'],
  ['GET', '/v1/resources/{kind}'],
  ['GET', '/v1/resources/{kind}/{name}'],
  ['PUT', '/v1/resources/{kind}/{name}'],
  ['DELETE', '/v1/resources/{kind}/{name}'],
] as const;

/**
 * @param deps - What answers.
 * @returns The routes.
 */
export function resourceRoutes(deps: ResourceRouteDeps): readonly Route[] {
  const resources = PATHS.map(([method, path]): Route => ({
    method,
    path,
    access: 'operator',
    handle: call => handle(call, deps.api),
  }));
  const status: Route = {
    method: 'GET',
    path: '/v1/status',
    access: 'operator',
    handle: async () => jsonResponse(await deps.status()),
  };
  return [...resources, status];
}

async function handle(call: ApiCall, api: ResourceApi): Promise<ApiResponse> {
  const body = bodyOf(call);
  if (!body.ok) return refusalResponse(body.err);
  const res = await api.handle(resourceRequest(call, body.value), call.signal);
  if (res.kind === 'refused') return refusalResponse(res.refusal);
  if (res.kind === 'answer') return jsonResponse(res.body, 200, res.headers);
  return {
    status: 200,
    headers: {'content-type': 'text/event-stream', 'cache-control': 'no-store'},
    body: frames(res.events),
  };
}

function bodyOf(call: ApiCall): Outcome<unknown, Refusal> {
  return call.body === '' ? success(undefined) : parseJson(call.body);
}

function resourceRequest(call: ApiCall, body: unknown): ResourceRequest {
  const {headers, params, query} = call;
  return {
    method: call.method,
    kind: params['kind'],
    name: params['name'],
    watch: query['watch'] === 'true',
    since: query['since'] ?? headers['last-event-id'],
    ifMatch: headers['if-match'],
    ifNoneMatch: headers['if-none-match'],
    changeId: headers['idempotency-key'],
    body,
  };
}

async function* frames(
  events: AsyncIterable<WatchEvent>,
): AsyncGenerator<string> {
  for await (const event of events) yield watchFrame(event);
}
