/**
 * Sends what this host tells of requests in flight, and receives what others tell.
 */
import {repeat, type Clock, type EventLog, type Random} from '@oathead/core';
import type {LoadTable} from '../process/load_table.js';
import {
  DEFAULT_LOAD_TELLING,
  LoadTelling,
  type LoadPeer,
  type LoadTellingOptions,
} from '../process/load_telling.js';
import type {HostAddress, HostSocket} from './host_socket.js';
import {decodeLoad, encodeLoad, LOAD_FORMAT} from './load_message.js';

/** Another host, and where it listens. */
export interface HostPeer extends LoadPeer, HostAddress {}

/** What a {@link LoadExchange} needs. */
export interface LoadExchangeContext {
  readonly self: LoadPeer;
  readonly table: LoadTable;
  readonly socket: HostSocket;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  /** The hosts to tell, this one not among them. */
  readonly peers: () => readonly HostPeer[];
}

/** Tells and hears loads until disposed. */
export class LoadExchange implements Disposable {
  private readonly telling: LoadTelling<HostPeer>;
  private timer: Disposable | undefined;
  private coordinatorId: string | undefined;

  /**
   * @param context - The table and whom to tell.
   * @param options - How often.
   */
  constructor(
    private readonly context: LoadExchangeContext,
    private readonly options: LoadTellingOptions = DEFAULT_LOAD_TELLING,
  ) {
    const now = () => context.clock.now();
    this.telling = new LoadTelling({...context, now}, options);
    context.socket.on(LOAD_FORMAT, datagram => this.receive(datagram));
  }

  /** Begins to tell. */
  start(): void {
    const {clock} = this.context;
    this.timer = repeat(clock, this.options.periodMs, () => this.tick());
  }

  /** Stops telling. */
  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }

  /** Who places the requests of this data centre; undefined: this host, or nobody. */
  get coordinator(): HostPeer | undefined {
    return this.telling.coordinator;
  }

  /** @returns Who places the requests of another data centre; undefined: nobody. */
  coordinatorOf(dataCentre: string): HostPeer | undefined {
    return this.telling.coordinatorOf(dataCentre);
  }

  private tick(): void {
    const {socket, peers} = this.context;
    for (const sending of this.telling.due(peers())) {
      const {message, peers} = sending;
      const what = message.sumOf > 0 ? 'data-centre-load' : 'load';
      socket.send(encodeLoad(message), peers, what);
    }
    this.noteCoordinator();
  }

  private noteCoordinator(): void {
    const id = this.coordinator?.id;
    if (id === this.coordinatorId) return;
    this.coordinatorId = id;
    this.context.log.event('coordinator-elected', {coordinator: id});
  }

  private receive(datagram: Uint8Array): boolean {
    const message = decodeLoad(datagram);
    if (message) this.telling.hear(message);
    return message !== undefined;
  }
}
