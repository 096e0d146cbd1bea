/** Answers readiness probes of the load balancer. */
import {createServer, type Server} from 'node:http';

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const STATUS_NOT_FOUND = 404;

/**
 * Calls back once the event loop has polled again.
 *
 * The event loop handles signals after all connections whose data it found in
 * the same poll, or only in the next poll. A probe that arrives after SIGTERM at
 * a process that stood still would otherwise be answered before the signal.
 *
 * @param callback - Called after all signals that have arrived by now.
 */
function afterPendingSignals(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

/** HTTP server that reports whether the process is ready. */
export class ReadinessServer {
  private readonly server: Server;

  /**
   * @param path - URL path of the probe.
   * @param ready - Whether the process accepts new connections.
   */
  constructor(path: string, ready: () => boolean) {
    this.server = createServer((req, res) => {
      const known = req.url === path;
      afterPendingSignals(() => {
        const status = ready() ? STATUS_OK : STATUS_UNAVAILABLE;
        res.writeHead(known ? status : STATUS_NOT_FOUND, {'content-length': 0});
        res.end();
      });
    });
  }

  /**
   * @param ip - IP address to listen on.
   * @param port - Port to listen on.
   * @returns Resolves when the server listens; rejects if the address is
   *     unavailable.
   */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
