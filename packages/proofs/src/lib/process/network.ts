/** Who listens where, and the connections between processes. */
import type {Clock} from '@oathead/core';
import {AnsweringEnd} from '../connection/answering_end.js';
import type {Procedures} from '../connection/answering_end.js';
import {Connection} from '../connection/connection.js';
import type {Frame, Side} from '../connection/connection.js';
import {Host} from './host.js';

/** A process that others connect to. */
export interface Listener {
  readonly host: Host;
  readonly procedures: Procedures;
}

/** One frame, as it was sent. */
export interface SentFrame {
  readonly from: string;
  readonly to: string;
  readonly frame: Frame;
  readonly connection: Connection;
}

const OTHER: Readonly<Record<Side, Side>> = {near: 'far', far: 'near'};

/** The network between processes. */
export class Network {
  /** Told of each frame that is sent. */
  onSent: (sent: SentFrame) => void = () => {};
  private readonly listeners = new Map<string, Listener>();
  private readonly unreachable = new Set<Host>();
  private connections: Connection[] = [];

  /**
   * @param clock - Time outside of the processes.
   * @param onThrown - Told of errors that handlers threw.
   */
  constructor(
    private readonly clock: Clock,
    private readonly onThrown: (err: unknown) => void,
  ) {}

  /** Connections to `address` reach this process from now on. */
  listen(address: string, listener: Listener): void {
    this.listeners.set(address, listener);
  }

  /**
   * @param from - The calling process.
   * @param address - Where to.
   * @returns A connection. Where nobody listens it is closed at once; a host
   *     that is gone without a word never answers.
   */
  connect(from: Host, address: string): Connection {
    const listener = this.listeners.get(address);
    const far = listener?.host ?? new Host('nobody', this.clock);
    const connection = this.add({near: from, far});
    if (listener?.host.alive) {
      const {procedures} = listener;
      new AnsweringEnd(connection, far, procedures, this.onThrown);
      far.died.addEventListener('abort', () => connection.close('far'));
    } else {
      connection.close('far');
    }
    from.died.addEventListener('abort', () => connection.close('near'));
    connection.silent = this.unreachable.has(far);
    return connection;
  }

  /**
   * @param a - A process, by name.
   * @param b - Another, or all others where absent.
   * @returns The open connections between them.
   */
  between(a: string, b?: string): readonly Connection[] {
    this.connections = this.connections.filter(({isOpen}) => isOpen);
    return this.connections.filter(({hosts: {near, far}}) => {
      const names = [near.name, far.name];
      return names.includes(a) && (b === undefined || names.includes(b));
    });
  }

  /** A host is gone without a word: no connection to it says or hears a thing. */
  lose(host: Host): void {
    this.unreachable.add(host);
    for (const connection of this.between(host.name)) connection.silent = true;
  }

  private add(hosts: Readonly<Record<Side, Host>>): Connection {
    const connection: Connection = new Connection(
      this.clock,
      hosts,
      (frame, from) =>
        this.onSent({
          from: hosts[from].name,
          to: hosts[OTHER[from]].name,
          frame,
          connection,
        }),
    );
    this.connections.push(connection);
    return connection;
  }
}
