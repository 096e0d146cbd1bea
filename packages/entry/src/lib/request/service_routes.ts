/** Route for calls of plain services. */
import {notRun} from '@oathead/core';
import type {ConfigView, ServiceCall} from '@oathead/core';
import {refusalResponse} from './api.js';
import type {ApiCall, ApiResponse} from './api.js';
import {callOptions, latestEnd, resultHeaders} from './call_options.js';
import type {CallOptionsDeps} from './call_options.js';
import type {Serve} from './online_call.js';
import {outcomeOf, refusalOf} from './outcome_of.js';
import type {Route} from './router.js';

/** What the service routes need. */
export interface ServiceDeps extends CallOptionsDeps {
  readonly cfg: ConfigView;
  readonly serve: Serve;
}

const METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/**
 * @param deps - The service behind the routes.
 * @returns The routes.
 */
export function serviceRoutes(deps: ServiceDeps): readonly Route[] {
  return METHODS.map(method => ({
    method,
    path: '/v1/services/{service}/{path*}',
    access: 'caller',
    latestEnd: headers => latestEnd(headers, deps),
    handle: call => callService(call, deps),
  }));
}

async function callService(
  call: ApiCall,
  deps: ServiceDeps,
): Promise<ApiResponse> {
  const service = call.params['service']!;
  if (deps.cfg.current().get('models', service)?.spec.type !== 'service') {
    return refusalResponse(
      notRun('not-found', `no service is named ${service}`),
    );
  }
  const options = callOptions(call, deps);
  if (!options.ok) return refusalResponse(options.err);
  const {resultId, ...common} = options.value;
  const work = serviceCall(call, service);
  const outcome = await outcomeOf(
    deps.serve({...common, class: 'online', work, stream: false}, call.signal),
  );
  if (outcome.kind !== 'done') return refusalResponse(refusalOf(outcome));
  const {answer} = outcome;
  if (answer.kind !== 'response') {
    return refusalResponse(notRun('not-found', `${service} is not a service`));
  }
  const type = answer.contentType;
  return {
    status: answer.status,
    headers: {
      ...resultHeaders(common.id, resultId),
      ...(type === undefined ? {} : {'content-type': type}),
    },
    body: answer.body,
  };
}

function serviceCall(call: ApiCall, service: string): ServiceCall {
  const query = new URLSearchParams(call.query).toString();
  const path = call.params['path']!;
  const contentType = call.headers['content-type'];
  return {
    kind: 'call',
    service,
    method: call.method,
    path: query === '' ? path : `${path}?${query}`,
    body: call.body,
    ...(contentType === undefined ? {} : {contentType}),
  };
}
