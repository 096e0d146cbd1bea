/** Serves the procedures of a target process over WebSocket connections. */
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import type {WebSocketServer} from 'ws';
import type {TargetHandler} from './target_handler.js';
import {targetRouter} from './target_router.js';

/**
 * Keep-alive settings, in milliseconds. An entry that was suspended, or that
 * failed without closing its connection, must not occupy the engine and the
 * connection indefinitely: a connection that is idle for the ping interval is
 * pinged, and it is closed if the entry does not respond in time.
 */
const PING_INTERVAL_MS = 10_000;
const PONG_TIMEOUT_MS = 5_000;

/** WebSocket close code 1001: the endpoint is going away. */
const GOING_AWAY_CODE = 1001;

/**
 * Serves the procedures of a handler on every connection of a WebSocket server.
 *
 * @param server - The server. Closing it remains up to the caller.
 * @param handler - Handles the calls.
 * @returns A disposable that closes the connections.
 */
export function serveWire(
  server: WebSocketServer,
  handler: TargetHandler,
): Disposable {
  applyWSSHandler({
    wss: server,
    router: targetRouter,
    createContext: ({res}) => ({handler, socket: res}),
    keepAlive: {
      enabled: true,
      pingMs: PING_INTERVAL_MS,
      pongWaitMs: PONG_TIMEOUT_MS,
    },
  });
  return {
    [Symbol.dispose]: () => {
      for (const socket of server.clients) socket.close(GOING_AWAY_CODE);
    },
  };
}
