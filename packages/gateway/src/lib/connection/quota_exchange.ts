/** Carries quota requests and their replies between hosts. */
import {
  AccountQuotas,
  type AccountQuotasContext,
} from '../process/account_quotas.js';
import type {HostSocket} from './host_socket.js';
import {decodeQuota, encodeQuota, QUOTA_FORMAT} from './quota_message.js';

/**
 * @param socket - Sends and receives the datagrams.
 * @param context - The live hosts, the quotas and their tolerance.
 * @returns The account quotas of this host, which also reply to requests of
 *     other hosts.
 */
export function createAccountQuotas(
  socket: HostSocket,
  context: Omit<AccountQuotasContext, 'send' | 'heardAt'>,
): AccountQuotas {
  const quotas = new AccountQuotas({
    ...context,
    heardAt: () => socket.heardAt,
    send: (message, to) =>
      socket.send(encodeQuota(message), [to], `quota-${message.kind}`),
  });
  socket.setHandler(QUOTA_FORMAT, datagram => {
    const message = decodeQuota(datagram);
    if (message) quotas.receive(message);
    return message !== undefined;
  });
  return quotas;
}
