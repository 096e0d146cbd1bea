/** Where something listens, as it stands in settings and in the store. */
import {isIP} from 'node:net';

const MAX_PORT = 65_535;

/**
 * @param text - Host and port.
 * @returns Whether it is an IP number with a port, such as `[::1]:7410`.
 */
export function isSocketAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (!match) return false;
  const port = Number(match[3]);
  const host = match[1] ?? match[2]!;
  const family = match[1] === undefined ? 4 : 6;
  return isIP(host) === family && port > 0 && port <= MAX_PORT;
}
