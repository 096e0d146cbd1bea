/** The end of a connection that makes calls, as the tRPC client would. */
import type {Host} from '../process/host.js';
import type {Connection, ConnectionEnd, Frame} from './connection.js';

/** What a call tells. */
export interface Sinks {
  onData(body: unknown): void;
  onStopped(): void;
  onError(err: unknown): void;
}

/** Told what happens to the connection. */
export interface CallingEndEvents {
  heard(): void;
  closed(): void;
}

/** Makes calls over one connection. */
export class CallingEnd implements ConnectionEnd {
  /** When something came last, on the clock of the process. */
  lastHeardAt: number;
  private readonly calls = new Map<number, Sinks>();
  private open = true;
  private lastCall = 0;

  /**
   * @param connection - The connection.
   * @param host - The process at this end.
   * @param events - Told what happens to the connection.
   */
  constructor(
    private readonly connection: Connection,
    private readonly host: Host,
    private readonly events: CallingEndEvents,
  ) {
    this.lastHeardAt = host.clock.now();
    connection.attach('near', this);
  }

  /** Whether calls can be made. */
  get isOpen(): boolean {
    return this.open;
  }

  onFrame(frame: Frame): void {
    if (!this.open) return;
    if (frame.kind === 'ping') this.send({...frame, kind: 'pong'});
    this.lastHeardAt = this.host.clock.now();
    this.events.heard();
    const sinks = this.calls.get(frame.call);
    if (!sinks) return;
    if (frame.kind === 'data') sinks.onData(frame.body);
    else if (frame.kind === 'end')
      this.ended(frame.call, () => sinks.onStopped());
    else if (frame.kind === 'error')
      this.ended(frame.call, () => sinks.onError(frame.body));
  }

  onClosed(): void {
    if (!this.open) return;
    this.open = false;
    this.events.closed();
  }

  /** @returns The one answer of a call; never, when the connection is lost. */
  ask(path: string, input: unknown): Promise<unknown> {
    return new Promise((resolve, reject) => {
      this.subscribe(path, input, {
        onData: resolve,
        onStopped: () => {},
        onError: err => reject(new Error(String(err))),
      });
    });
  }

  /** Begins a call whose answer comes in pieces. */
  subscribe(path: string, input: unknown, sinks: Sinks): {unsubscribe(): void} {
    const call = ++this.lastCall;
    this.calls.set(call, sinks);
    this.send({call, kind: 'ask', path, body: input});
    return {
      unsubscribe: () => {
        if (this.calls.delete(call)) this.send({call, kind: 'stop'});
      },
    };
  }

  /** Asks the other end for a sign of life. */
  ping(): void {
    this.send({call: 0, kind: 'ping'});
  }

  /** Closes the connection at once. */
  close(): void {
    this.open = false;
    this.connection.close('near');
  }

  private ended(call: number, tell: () => void): void {
    this.calls.delete(call);
    tell();
  }

  private send(frame: Frame): void {
    if (this.open) this.connection.send('near', frame);
  }
}
