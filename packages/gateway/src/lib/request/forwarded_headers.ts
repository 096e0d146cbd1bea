/** Which headers go on to the other side. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Headers} from './target_protocol.js';

/** Headers that concern one connection only (RFC 9110, 7.6.1), and those that
 * the sender of a body sets anew. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/**
 * @param headers - As received.
 * @returns Those that are not only for this connection.
 */
export function endToEndHeaders(headers: IncomingHttpHeaders): Headers {
  const named = (headers.connection ?? '').toLowerCase().split(/\s*,\s*/);
  const forwarded: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || CONNECTION_HEADERS.has(name)) continue;
    if (named.includes(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}
