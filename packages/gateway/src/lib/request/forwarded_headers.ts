/** Selects the headers that are forwarded between callers and targets. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Headers} from './target_protocol.js';

/**
 * Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the sender of a body
 * sets itself.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * @param headers - The headers as received; names in any case.
 * @returns The end-to-end headers with names in lower case, without hop-by-hop
 *     headers and without those that `Connection` lists.
 */
export function endToEndHeaders(headers: IncomingHttpHeaders): Headers {
  const lowerCase = Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value]),
  );
  // A list of values if a target repeats the header, despite its type.
  const connectionOptions = String(lowerCase['connection'] ?? '')
    .toLowerCase()
    .split(/\s*,\s*/);
  const forwarded: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(lowerCase)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (connectionOptions.includes(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}
