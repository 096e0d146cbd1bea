/**
 * Sends load reports of this host over the host socket and passes on the
 * reports received from other hosts.
 */
import {repeat, type Clock, type EventLog, type Random} from '@oathead/core';
import type {LoadTable} from '../process/load_table.js';
import {
  DEFAULT_LOAD_REPORT_OPTIONS,
  LoadReporter,
  type LoadPeer,
  type LoadReportOptions,
} from '../process/load_reporter.js';
import type {HostAddress, HostSocket} from './host_socket.js';
import {decodeLoad, encodeLoad, LOAD_FORMAT} from './load_message.js';

/** Another host and the address at which it listens. */
export interface HostPeer extends LoadPeer, HostAddress {}

/** Dependencies of a {@link LoadExchange}. */
export interface LoadExchangeContext {
  readonly self: LoadPeer;
  readonly table: LoadTable;
  readonly socket: HostSocket;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  /** The hosts to report to, without this one. */
  readonly peers: () => readonly HostPeer[];
}

/** Sends and receives load reports until disposed. */
export class LoadExchange implements Disposable {
  private readonly reporter: LoadReporter<HostPeer>;
  private timer: Disposable | undefined;
  private coordinatorId: string | undefined;

  /**
   * @param context - The load table, the socket and the peers.
   * @param options - Report intervals and rate limits.
   */
  constructor(
    private readonly context: LoadExchangeContext,
    private readonly options: LoadReportOptions = DEFAULT_LOAD_REPORT_OPTIONS,
  ) {
    const now = () => context.clock.now();
    this.reporter = new LoadReporter({...context, now}, options);
    context.socket.setHandler(LOAD_FORMAT, datagram => this.receive(datagram));
  }

  /** Starts to send load reports periodically. */
  start(): void {
    const {clock} = this.context;
    this.timer = repeat(clock, this.options.periodMs, () => this.tick());
  }

  /** Stops sending. */
  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }

  /** Whether one host of each data centre places its requests. */
  get hasCoordinators(): boolean {
    return this.reporter.hasCoordinators;
  }

  /**
   * The coordinator of this data centre; undefined if it is this host or if
   * there is none.
   */
  get coordinator(): HostPeer | undefined {
    return this.reporter.coordinator;
  }

  /** Whether this host is the coordinator of its data centre. */
  get isCoordinator(): boolean {
    return this.reporter.isCoordinator;
  }

  /**
   * @param dataCentre - Name of another data centre.
   * @returns Its coordinator; undefined if there is none.
   */
  coordinatorOf(dataCentre: string): HostPeer | undefined {
    return this.reporter.coordinatorOf(dataCentre);
  }

  private tick(): void {
    const {socket, peers} = this.context;
    for (const outgoing of this.reporter.takeDueReports(peers())) {
      const {message, peers} = outgoing;
      const messageType = message.sumOf > 0 ? 'data-centre-load' : 'load';
      socket.send(encodeLoad(message), peers, messageType);
    }
    this.logCoordinatorChange();
  }

  private logCoordinatorChange(): void {
    const id = this.coordinator?.id;
    if (id === this.coordinatorId) return;
    this.coordinatorId = id;
    this.context.log.event('coordinator-elected', {coordinator: id});
  }

  private receive(datagram: Uint8Array): boolean {
    const message = decodeLoad(datagram);
    if (message) this.reporter.receive(message);
    return message !== undefined;
  }
}
