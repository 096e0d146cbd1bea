/** A plain service over HTTP. */
import type {ServiceCall, ServiceClient, ServiceResponse} from '@oathead/core';
import {toldError, wholeRequest} from './backend_request.js';

/** The status by which a service may say that it did not take a call. */
const STATUS_UNAVAILABLE = 503;

/** A service at the other end of HTTP connections. */
export class HttpServiceClient implements ServiceClient {
  /** @param baseUrl - Where the service listens; paths go below it. */
  constructor(private readonly baseUrl: string) {}

  /**
   * Any status is an answer, but a 503 whose body says that the call was not
   * taken.
   */
  call(
    call: ServiceCall,
    signal: AbortSignal,
    traceparent?: string,
  ): Promise<ServiceResponse> {
    const {method, path, contentType} = call;
    const body = call.body === '' ? undefined : call.body;
    const req = {method, path, body, contentType, traceparent};
    return wholeRequest(this.baseUrl, req, signal, async res => {
      const {statusCode: status, headers} = res;
      const text = await res.body.text();
      const err = toldError(text);
      if (status === STATUS_UNAVAILABLE && err?.kind === 'refused') throw err;
      const type = headers['content-type'];
      return {status, contentType: type?.toString(), body: text};
    });
  }
}
