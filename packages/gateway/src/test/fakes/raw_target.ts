/**
 * A target that sends raw bytes chosen by a test, and a header protocol to
 * parse them.
 */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {failure, success} from '@oathead/core';
import type {TargetProtocol} from '../../lib/request/target_protocol.js';

/** Header protocol with short header names. */
export const PROTOCOL: TargetProtocol = {
  readRequest: () => ({
    requestId: undefined,
    deadlineMs: undefined,
    lastEventId: undefined,
    resumes: undefined,
    sharedParts: [],
    key: undefined,
  }),
  requestHeaders: headers => headers,
  readResponse: (status, headers) => {
    if (Array.isArray(headers['content-type']))
      return failure('content-type comes twice');
    return success({
      requestId: headers['id'] as string | undefined,
      sealed: headers['seal'] !== undefined,
      notRun: headers['not-run'] !== undefined || status === 421,
      hasUnexpectedEncoding: headers['content-encoding'] !== undefined,
      isEventStream: headers['content-type'] === 'text/event-stream',
    });
  },
  retryAfter: () => ({}),
  maxRetryAfterMs: leftMs => leftMs,
};

/**
 * @param onConnection - Handles the connections of the target.
 * @returns The address of the target, which listens until disposed.
 */
export async function listen(onConnection: (socket: Socket) => void) {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    onConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, 'close');
    },
  };
}
