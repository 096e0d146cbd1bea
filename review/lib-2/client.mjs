/** A client: one attempt of a request, on a new connection or a kept one. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

/** @returns A new id, as clients give them to their attempts. */
export function newId() {
  return randomBytes(8).toString('hex');
}

/**
 * @returns What the client got: status, headers, body and whether it was whole;
 *     `error` if there was no whole answer.
 */
export function call(
  host,
  {
    method = 'GET',
    path,
    headers = {},
    body,
    id,
    agent,
    timeoutMs = 10_000,
    site = 'bank.example',
  },
) {
  return new Promise(resolve => {
    const startedAt = Date.now();
    const answer = {status: undefined, headers: {}, body: Buffer.alloc(0)};
    const parts = [];
    let settled = false;
    const end = error => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({
        ...answer,
        body: Buffer.concat(parts),
        error,
        ms: Date.now() - startedAt,
      });
    };
    const req = request({
      host: host.front.host,
      port: host.front.port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: site,
        ...(id === undefined ? {} : {'x-attempt-id': id}),
        ...(body === undefined
          ? {}
          : {'content-length': Buffer.byteLength(body)}),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      req.destroy();
      end('timeout');
    }, timeoutMs);
    req.on('error', err => end(err.code ?? String(err)));
    req.on('response', res => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.on('data', part => parts.push(part));
      res.on('end', () => end(res.complete ? undefined : 'cut'));
      res.on('error', err => end(err.code ?? String(err)));
      res.on('close', () => end(res.complete ? undefined : 'cut'));
    });
    req.end(body);
  });
}
