/** The target's end of the wire. */
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import type {WebSocketServer} from 'ws';
import type {TargetHandler} from './target_handler.js';
import {targetRouter} from './target_router.js';

/**
 * An entry that was paused, or lost without a word, must not hold its requests
 * at the engine and its connection for good: one that sends nothing for so long
 * and does not answer a ping is closed. In milliseconds.
 */
const PING_MS = 10_000;
const PONG_WAIT_MS = 5_000;

/** Close code that tells a peer that this process is going away. */
const GOING_AWAY = 1001;

/**
 * Answers every connection of a WebSocket server from a handler.
 *
 * @param server - The server; it stays the caller's to close.
 * @param handler - What answers.
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
    keepAlive: {enabled: true, pingMs: PING_MS, pongWaitMs: PONG_WAIT_MS},
  });
  return {
    [Symbol.dispose]: () => {
      for (const socket of server.clients) socket.close(GOING_AWAY);
    },
  };
}
