/** A loopback proxy whose connections can be made to misbehave. */
import {once} from 'node:events';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {endedByReset, resetSocket} from '@oathead/platform/stand_ins';

/** How new bytes are treated, on old and new connections alike. */
export type ProxyMode =
  | 'pass'
  /** Each piece comes later. */
  | 'delay'
  /** What is sent to the far side is dropped. */
  | 'drop-requests'
  /** What the far side sends is dropped. */
  | 'drop-answers'
  /** Nothing gets through, either way. */
  | 'cut';

/** How much later a piece comes under `delay`, in milliseconds. */
const DELAY_MS = 150;

type Direction = 'requests' | 'answers';

const DROPS: Readonly<Record<ProxyMode, ReadonlySet<Direction>>> = {
  pass: new Set(),
  delay: new Set(),
  'drop-requests': new Set<Direction>(['requests']),
  'drop-answers': new Set<Direction>(['answers']),
  cut: new Set<Direction>(['requests', 'answers']),
};

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  /** A connection that something in between has forgotten: bytes and closes
   * are lost for good, while new connections work. */
  silent: boolean;
}

/** Stands in front of one address. */
export class FaultProxy implements AsyncDisposable {
  /** How bytes are treated now. */
  mode: ProxyMode = 'pass';
  private readonly links = new Set<Link>();
  private readonly server: Server;

  private constructor(private readonly to: string) {
    this.server = createServer(near => this.accept(near));
  }

  /**
   * @param to - The address behind it.
   * @returns The proxy, listening.
   */
  static async before(to: string): Promise<FaultProxy> {
    const proxy = new FaultProxy(to);
    proxy.server.listen(0, '127.0.0.1');
    await once(proxy.server, 'listening');
    return proxy;
  }

  /** Where it listens. */
  get address(): string {
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Resets all connections that are open now. */
  reset(): void {
    for (const {near, far} of this.links) {
      resetSocket(near);
      resetSocket(far);
    }
  }

  /** Makes all connections that are open now silent for good. */
  silence(): void {
    for (const link of this.links) link.silent = true;
  }

  /** Closes everything. */
  async [Symbol.asyncDispose](): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    for (const {near, far} of this.links) {
      near.destroy();
      far.destroy();
    }
    await closed;
  }

  private accept(near: Socket): void {
    const [host, port] = this.to.split(':');
    const far = connect({host: host!, port: Number(port)});
    const link: Link = {near, far, silent: false};
    this.links.add(link);
    near.setNoDelay(true);
    far.setNoDelay(true);
    this.forward(link, near, far, 'requests');
    this.forward(link, far, near, 'answers');
  }

  private forward(
    link: Link,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): void {
    from.on('data', piece => {
      if (link.silent || DROPS[this.mode].has(direction)) return;
      const write = () => {
        if (!to.destroyed) to.write(piece);
      };
      if (this.mode === 'delay') setTimeout(write, DELAY_MS);
      else write();
    });
    // A reset or a refused connection at one side is one at the other.
    from.on('error', () => this.close(link, () => resetSocket(to)));
    from.on('end', () => {
      const isReset = endedByReset(from);
      this.close(link, () => (isReset ? resetSocket(to) : to.end()));
    });
    from.on('close', () => this.close(link, () => to.destroy()));
  }

  private close(link: Link, how: () => void): void {
    if (link.silent) return;
    if (this.mode === 'delay') setTimeout(how, DELAY_MS);
    else how();
    if (link.near.destroyed && link.far.destroyed) this.links.delete(link);
  }
}
