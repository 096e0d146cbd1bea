/** A link from one entry to another, without sockets. */
import {DisposableStore, LinkLostError, repeat} from '@oathead/core';
import type {ServeEvent, ServeOutcome} from '@oathead/core';
import type {ForwardedCall, PeerLink} from '@oathead/entry';
import {EventQueue} from '@oathead/wire';
import type {Host} from '../process/host.js';
import type {Network} from '../process/network.js';
import {CallingEnd} from './calling_end.js';

/** Quiet for so long while something is asked: the peer is lost. */
const SILENCE_MS = 1_000;

/** A link whose calls fail together when its connection is lost. */
export class DirectPeerLink implements PeerLink {
  private end: CallingEnd | undefined;
  private readonly failures = new Set<() => void>();

  /**
   * @param network - Opens connections.
   * @param host - The calling process.
   * @param address - Of the other entry.
   */
  constructor(
    private readonly network: Network,
    private readonly host: Host,
    private readonly address: string,
  ) {}

  async *serve(
    call: ForwardedCall,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent> {
    const queue = new EventQueue<ServeEvent>();
    using held = new DisposableStore();
    const end = this.open();
    held.add(this.watch(end, () => queue.end(lost())));
    const subscription = end.subscribe('serve', call, {
      onData: event => queue.push(event as ServeEvent),
      onStopped: () => queue.end(),
      onError: () => queue.end(lost()),
    });
    held.defer(() => subscription.unsubscribe());
    const stop = () => queue.end();
    signal.addEventListener('abort', stop, {once: true});
    held.defer(() => signal.removeEventListener('abort', stop));
    yield* queue.read();
  }

  configSince(
    ...[since]: Parameters<PeerLink['configSince']>
  ): ReturnType<PeerLink['configSince']> {
    return this.ask('configSince', since);
  }

  findOutcome(dedupeKey: string): Promise<ServeOutcome | undefined> {
    return this.ask('findOutcome', dedupeKey);
  }

  reportUse(
    ...[reports]: Parameters<PeerLink['reportUse']>
  ): ReturnType<PeerLink['reportUse']> {
    return this.ask('reportUse', reports);
  }

  [Symbol.dispose](): void {
    this.end?.close();
    this.fail();
  }

  private async ask<T>(path: string, input: unknown): Promise<T> {
    const end = this.open();
    return new Promise((resolve, reject) => {
      const watch = this.watch(end, () => reject(lost()));
      void end
        .ask(path, input)
        .then(
          answer => resolve(answer as T),
          () => reject(lost()),
        )
        .finally(() => watch[Symbol.dispose]());
    });
  }

  private open(): CallingEnd {
    if (!this.end?.isOpen) {
      const connection = this.network.connect(this.host, this.address);
      this.end = new CallingEnd(connection, this.host, {
        heard: () => {},
        closed: () => this.fail(),
      });
    }
    return this.end;
  }

  private watch(end: CallingEnd, onLost: () => void): Disposable {
    const {clock} = this.host;
    end.lastHeardAt = clock.now();
    this.failures.add(onLost);
    const pings = repeat(clock, SILENCE_MS / 2, () => {
      if (clock.now() - end.lastHeardAt <= SILENCE_MS) end.ping();
      else if (end.isOpen) {
        end.close();
        this.fail();
      }
    });
    return {
      [Symbol.dispose]: () => {
        pings[Symbol.dispose]();
        this.failures.delete(onLost);
      },
    };
  }

  private fail(): void {
    const failures = [...this.failures];
    this.failures.clear();
    for (const failure of failures) failure();
  }
}

function lost(): LinkLostError {
  return new LinkLostError('the other entry cannot be reached');
}
