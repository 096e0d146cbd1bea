/** Carries questions about quotas, and their answers, between hosts. */
import {
  AccountQuotas,
  type AccountQuotasContext,
} from '../process/account_quotas.js';
import type {HostSocket} from './host_socket.js';
import {decodeQuota, encodeQuota, QUOTA_FORMAT} from './quota_message.js';

/**
 * @param socket - Sends and receives the datagrams.
 * @param context - The live hosts, and how exactly quotas are kept.
 * @returns The quotas of this host, which answers others, too.
 */
export function quotasOver(
  socket: HostSocket,
  context: Omit<AccountQuotasContext, 'send'>,
): AccountQuotas {
  const quotas = new AccountQuotas({
    ...context,
    send: (message, to) =>
      socket.send(encodeQuota(message), [to], `quota-${message.kind}`),
  });
  socket.on(QUOTA_FORMAT, datagram => {
    const message = decodeQuota(datagram);
    if (message) quotas.hear(message);
    return message !== undefined;
  });
  return quotas;
}
