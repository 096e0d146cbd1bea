/**
 * Tells other hosts of the own requests in flight, several times a second, and
 * takes in theirs. Datagrams: a lost one is made good by the next, and one
 * that is late is worth nothing.
 */
import {createSocket, type Socket} from 'node:dgram';
import {
  DisposableStore,
  type Clock,
  type Counters,
  type EventLog,
} from '@oathead/core';
import {loadSpacing, type LoadPaceOptions} from './load_pace.js';
import type {LoadTable} from '../process/load_table.js';
import {decodeLoad, encodeLoad} from './load_message.js';

/** How often loads are told. */
export interface LoadExchangeOptions extends LoadPaceOptions {
  /** How long a host stays silent while nothing changes, in milliseconds. */
  readonly quietMs: number;
}

/** 60 ms: an item that gives way is told within the time of three stream
 * events. 150 datagrams of some 150 bytes are 23 KB a second. */
export const DEFAULT_LOAD_EXCHANGE: LoadExchangeOptions = {
  periodMs: 60,
  maxDatagramsPerSecond: 150,
  quietMs: 1000,
};

/** Where a host listens for loads. */
export interface LoadPeer {
  readonly id: string;
  readonly dataCentre: string;
  readonly ip: string;
  readonly port: number;
}

/** Hosts that are told at the same times, and what they were told last. */
interface ToldGroup {
  sentAt: number;
  sentText: string;
}

/** What a {@link LoadExchange} needs. */
export interface LoadExchangeContext {
  readonly self: LoadPeer;
  readonly table: LoadTable;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly counters: Counters;
  /** The hosts to tell, this one not among them. */
  readonly peers: () => readonly LoadPeer[];
}

/** Sends and receives loads until disposed. */
export class LoadExchange implements Disposable {
  private readonly held = new DisposableStore();
  private readonly heard = new Map<string, number>();
  private readonly socket: Socket = createSocket('udp4');
  private sequence = 0;
  private readonly near: ToldGroup = {sentAt: -Infinity, sentText: ''};
  private readonly far: ToldGroup = {sentAt: -Infinity, sentText: ''};

  /**
   * @param context - The table and whom to tell.
   * @param options - How often.
   */
  constructor(
    private readonly context: LoadExchangeContext,
    private readonly options: LoadExchangeOptions = DEFAULT_LOAD_EXCHANGE,
  ) {}

  /** Begins to listen and to tell. */
  start(): void {
    const {self, log} = this.context;
    this.socket.on('message', datagram => this.receive(datagram));
    this.socket.on('error', err =>
      log.event('load-socket-failed', {message: err.message}),
    );
    this.socket.bind(self.port, self.ip);
    this.held.defer(() => this.socket.close());
    const timer = setInterval(() => this.tick(), this.options.periodMs);
    this.held.defer(() => clearInterval(timer));
  }

  /** Stops telling and listening. */
  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private tick(): void {
    const {table, self, peers} = this.context;
    table.expire();
    const all = peers();
    const near = all.filter(({dataCentre}) => dataCentre === self.dataCentre);
    const far = all.filter(({dataCentre}) => dataCentre !== self.dataCentre);
    const spacing = loadSpacing(near.length, far.length, this.options);
    const text = this.ownText();
    this.tellGroup(this.near, near, spacing.nearMs, text);
    this.tellGroup(this.far, far, spacing.farMs, text);
  }

  private tellGroup(
    group: ToldGroup,
    peers: readonly LoadPeer[],
    spacingMs: number,
    text: string,
  ): void {
    const {periodMs, quietMs} = this.options;
    const now = this.context.clock.now();
    const sinceSent = now - group.sentAt;
    // Half a period less: timers fire late, and a tick must not be missed.
    if (peers.length === 0 || sinceSent < spacingMs - periodMs / 2) return;
    if (text === group.sentText && sinceSent < quietMs) return;
    group.sentAt = now;
    group.sentText = text;
    this.tell(peers);
  }

  private ownText(): string {
    return JSON.stringify([...this.context.table.ownLoad]);
  }

  private tell(peers: readonly LoadPeer[]): void {
    const {self, table, counters} = this.context;
    const datagram = encodeLoad({
      host: self.id,
      sequence: ++this.sequence,
      load: table.ownLoad,
    });
    for (const {ip, port} of peers) {
      this.socket.send(datagram, port, ip, err => {
        if (err) counters.count('load_datagrams_unsent');
      });
    }
    counters.count('load_datagrams_sent', {}, peers.length);
    counters.count('load_bytes_sent', {}, peers.length * datagram.length);
  }

  private receive(datagram: Uint8Array): void {
    const message = decodeLoad(datagram);
    if (!message) {
      this.context.counters.count('load_datagrams_unreadable');
      return;
    }
    const {host, sequence, load} = message;
    if (sequence <= (this.heard.get(host) ?? 0)) return;
    this.heard.set(host, sequence);
    this.context.table.hear(host, load);
  }
}
