/** Validation of socket addresses in settings and stored resources. */
import {isIP} from 'node:net';

const MAX_PORT = 65_535;
/**
 * Separates an IPv6 address from the name of a network interface. The name means
 * something only to the machine that has the interface, and no URL can hold it.
 */
const ZONE_SEPARATOR = '%';

/**
 * @param text - Address and port.
 * @returns Whether the text is an IP address with a port from 1 to 65535, such
 *     as `127.0.0.1:7410` or `[::1]:7410`. Any such text can stand for the
 *     authority in a URL.
 */
export function isSocketAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (!match) return false;
  const port = Number(match[3]);
  const host = match[1] ?? match[2]!;
  if (host.includes(ZONE_SEPARATOR)) return false;
  const family = match[1] === undefined ? 4 : 6;
  return isIP(host) === family && port > 0 && port <= MAX_PORT;
}
