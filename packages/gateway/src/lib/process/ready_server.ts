/** Answers the balancer's question whether this host takes new connections. */
import {createServer, type Server} from 'node:http';

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const STATUS_NOT_FOUND = 404;

/** Says whether the process is ready. */
export class ReadyServer {
  private readonly server: Server;

  /**
   * @param path - What is asked for.
   * @param ready - Whether new connections are welcome.
   */
  constructor(path: string, ready: () => boolean) {
    this.server = createServer((req, res) => {
      const known = req.url === path;
      const status = ready() ? STATUS_OK : STATUS_UNAVAILABLE;
      res.writeHead(known ? status : STATUS_NOT_FOUND, {'content-length': 0});
      res.end();
    });
  }

  /**
   * @param ip - Where to listen.
   * @param port - Where to listen.
   */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => resolve());
    });
  }

  /** Stops answering. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
