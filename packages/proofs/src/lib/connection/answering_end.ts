/** The end of a connection that answers calls, as the tRPC server would. */
import {repeat} from '@oathead/core';
import type {Host} from '../process/host.js';
import type {Connection, ConnectionEnd, Frame} from './connection.js';

/** Calls one procedure of a router. */
export type Procedures = (
  path: string,
  input: unknown,
  signal: AbortSignal,
  socket: FakeSocket,
) => Promise<unknown>;

/** What the routers of the system look at of a socket. */
export interface FakeSocket {
  readonly OPEN: 1;
  readonly readyState: number;
}

const OPEN = 1;
const CLOSED = 3;
/** As the server of the wire does: a silent peer is closed. */
const PING_MS = 10_000;
const PONG_WAIT_MS = 5_000;

/** Answers the calls of one connection. */
export class AnsweringEnd implements ConnectionEnd {
  private readonly calls = new Map<number, AbortController>();
  private readonly pings: Disposable;
  private heardAt: number;
  private closed = false;

  /**
   * @param connection - The connection.
   * @param host - The process at this end.
   * @param procedures - What answers.
   * @param onThrown - Told of an error that was thrown in place of an answer.
   */
  constructor(
    private readonly connection: Connection,
    private readonly host: Host,
    private readonly procedures: Procedures,
    private readonly onThrown: (err: unknown) => void,
  ) {
    this.heardAt = host.clock.now();
    this.pings = repeat(host.clock, PING_MS, () => this.ping());
    connection.attach('far', this);
  }

  onFrame(frame: Frame): void {
    this.heardAt = this.host.clock.now();
    if (frame.kind === 'ask') void this.answer(frame);
    else if (frame.kind === 'stop') this.calls.get(frame.call)?.abort();
    else if (frame.kind === 'ping') this.send({...frame, kind: 'pong'});
  }

  onClosed(): void {
    this.closed = true;
    this.pings[Symbol.dispose]();
    for (const call of this.calls.values()) call.abort();
  }

  private async answer({call, path, body}: Frame): Promise<void> {
    const abort = new AbortController();
    this.calls.set(call, abort);
    const socket = this.socket();
    try {
      const result = await this.procedures(path!, body, abort.signal, socket);
      if (isIterable(result)) await this.pump(call, result, abort.signal);
      else this.send({call, kind: 'data', body: result});
      this.send({call, kind: 'end'});
    } catch (err) {
      this.onThrown(err);
      this.send({call, kind: 'error', body: String(err)});
    } finally {
      this.calls.delete(call);
    }
  }

  private async pump(
    call: number,
    events: AsyncIterable<unknown>,
    signal: AbortSignal,
  ): Promise<void> {
    const iterator = events[Symbol.asyncIterator]();
    const aborted = new Promise<'aborted'>(resolve => {
      signal.addEventListener('abort', () => resolve('aborted'), {once: true});
    });
    for (;;) {
      const next = await Promise.race([iterator.next(), aborted]);
      if (next === 'aborted') break;
      if (next.done) return;
      this.send({call, kind: 'data', body: next.value});
    }
    await iterator.return?.();
  }

  private send(frame: Frame): void {
    if (!this.closed) this.connection.send('far', frame);
  }

  private socket(): FakeSocket {
    const state = () => (this.closed ? CLOSED : OPEN);
    return {
      OPEN,
      get readyState() {
        return state();
      },
    };
  }

  private ping(): void {
    const pingedAt = this.host.clock.now();
    this.connection.send('far', {call: 0, kind: 'ping'});
    this.host.clock.after(PONG_WAIT_MS, () => {
      if (this.heardAt >= pingedAt || this.closed) return;
      this.connection.close('far');
      this.onClosed();
    });
  }
}

function isIterable(value: unknown): value is AsyncIterable<unknown> {
  return (
    typeof value === 'object' && value !== null && Symbol.asyncIterator in value
  );
}
