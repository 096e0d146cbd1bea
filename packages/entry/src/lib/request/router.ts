/** Which handler answers a request: a table of routes. */
import {notRun} from '@oathead/core';
import type {Counters, Refusal} from '@oathead/core';
import {refusalResponse} from './api.js';
import type {ApiCall, ApiRequest, ApiResponse, Identity} from './api.js';

/** Who may use a route. */
export type Access = 'caller' | 'operator';

/** One route. */
export interface Route {
  readonly method: string;
  /**
   * Path with `{name}` for one segment, or `{name*}` at the end for the rest.
   */
  readonly path: string;
  readonly access: Access;
  /** Largest body; the server's default where absent. */
  readonly maxBodyBytes?: number;
  /**
   * Absent on routes whose work no deadline ends.
   *
   * @param headers - Headers of a request that has just come.
   * @returns When it ends at the latest, on the process's clock, in ms.
   */
  latestEnd?(headers: Readonly<Record<string, string>>): number;
  handle(call: ApiCall): Promise<ApiResponse>;
}

/** Tells who calls. */
export interface Authenticator {
  /** @returns The caller, or undefined when the key is not known. */
  identify(authorization: string | undefined): Identity | undefined;
}

/** Finds and calls the handler of a request. */
export class Router {
  /**
   * @param routes - Tried in order; the first that fits answers.
   * @param authenticator - Tells who calls.
   * @param counters - Counts requests by route and status.
   */
  constructor(
    private readonly routes: readonly Route[],
    private readonly authenticator: Authenticator,
    private readonly counters: Counters,
  ) {}

  /**
   * @param method - HTTP method.
   * @param path - Path without query.
   * @returns The largest body that the route takes, if it says so.
   */
  maxBodyBytes(method: string, path: string): number | undefined {
    return this.find(method, path)?.route.maxBodyBytes;
  }

  /**
   * @param method - HTTP method.
   * @param path - Path without query.
   * @param headers - Headers of the request, by names in lower case.
   * @returns When the request ends at the latest, on the process's clock, in
   *     milliseconds; infinity where nothing ends it.
   */
  latestEnd(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
  ): number {
    const found = this.find(method, path);
    // What has no route is refused in any case.
    if (!found) return -Infinity;
    return found.route.latestEnd?.(headers) ?? Infinity;
  }

  /**
   * Checks the key alone, before a body is read.
   *
   * @param authorization - The header.
   * @returns A refusal, or undefined when the key is known.
   */
  checkKey(authorization: string | undefined): Refusal | undefined {
    if (this.authenticator.identify(authorization)) return undefined;
    return UNAUTHORIZED;
  }

  /**
   * @param req - A request.
   * @returns Its answer; every refusal is an answer too.
   */
  async handle(req: ApiRequest): Promise<ApiResponse> {
    const found = this.find(req.method, req.path);
    const res = await this.answer(req, found);
    this.counters.count('api_requests', {
      route: found?.route.path ?? 'none',
      status: String(res.status),
    });
    return res;
  }

  private async answer(
    req: ApiRequest,
    found: FoundRoute | undefined,
  ): Promise<ApiResponse> {
    const identity = this.authenticator.identify(req.headers['authorization']);
    if (!identity) return refusalResponse(UNAUTHORIZED);
    if (!found) return refusalResponse(NO_SUCH_PATH);
    const {route, params} = found;
    if (route.access === 'operator' && identity.role !== 'operator') {
      return refusalResponse(OPERATORS_ONLY);
    }
    return route.handle({...req, identity, params});
  }

  private find(method: string, path: string): FoundRoute | undefined {
    for (const route of this.routes) {
      if (route.method !== method) continue;
      const params = matchPath(route.path, path);
      if (params) return {route, params};
    }
    return undefined;
  }
}

interface FoundRoute {
  readonly route: Route;
  readonly params: Readonly<Record<string, string>>;
}

const UNAUTHORIZED = notRun('unauthorized', 'a valid bearer key is needed');
const NO_SUCH_PATH = notRun('not-found', 'no such path');
const OPERATORS_ONLY = notRun('forbidden', 'only operators may do this');

/**
 * @param pattern - Path of a route.
 * @param path - Path of a request.
 * @returns The parameters, or undefined when the path does not fit.
 */
export function matchPath(
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined {
  const want = pattern.split('/');
  const have = path.split('/');
  const params: Record<string, string> = {};
  for (const [index, segment] of want.entries()) {
    if (segment.endsWith('*}')) {
      params[segment.slice(1, -2)] = have.slice(index).join('/');
      return params;
    }
    const value = have[index];
    if (value === undefined) return undefined;
    if (!segment.startsWith('{')) {
      if (segment !== value) return undefined;
      continue;
    }
    const decoded = decodeSegment(value);
    if (!decoded) return undefined;
    params[segment.slice(1, -1)] = decoded;
  }
  return want.length === have.length ? params : undefined;
}

function decodeSegment(value: string): string | undefined {
  try {
    return decodeURIComponent(value);
  } catch {
    return undefined;
  }
}
