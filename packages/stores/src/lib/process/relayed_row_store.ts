/**
 * A store that is reached through other hosts while it turns this host away.
 *
 * Guards against a store that serves some hosts and not others, or a cut
 * between one host and the store: it shows as refusals and timeouts here while
 * others are served, and without a way round a host would lose its lease, the
 * results of its batch items, and changes of the configuration.
 *
 * Why it holds: a write that is sent both ways takes effect once, since each
 * write expects versions of rows or says the same whenever it is done; and a
 * host relays by its own way to the store only, so no call goes in circles.
 */
import {
  failure,
  sleep,
  type Clock,
  type Counters,
  type EventLog,
  type Outcome,
  type Random,
} from '@oathead/core';
import type {
  RowChanges,
  RowPage,
  RowQuery,
  RowStore,
  RowStoreError,
  RowStoreOutcome,
  RowTransaction,
  StoreMoment,
} from './row_store.js';

/** Another host, which passes calls on to the store. */
export type RowStoreRelay = Pick<RowStore, 'transact' | 'read' | 'changes'>;

/** What a {@link RelayedRowStore} needs. */
export interface RelayContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  /** The hosts that can be asked now. */
  readonly relays: () => readonly RowStoreRelay[];
  /** A row of it is read to see whether the own way works again. */
  readonly probe: Pick<RowQuery, 'table' | 'partition'>;
}

/** How often the own way is tried while calls go to relays, in milliseconds. The
 * try is a read of its own, so that no call waits for a store that is silent. */
const PROBE_MS = 1000;
/** After a relay failed, too, none is asked for so long, in milliseconds: the
 * store is down for all, and calls it refuses have a price. */
const RELAY_PAUSE_MS = 400;
/** Relays that are asked for one call at the most, one after another: those that
 * have no way either say so at once. */
const RELAY_TRIES = 3;
const NO_OWN_WAY: RowStoreError = {
  kind: 'refused',
  message: 'this host has no way to the store of its own',
};

type Call<T> = (store: RowStoreRelay) => RowStoreOutcome<T>;

/** Asks the store, and if it can't be asked, a relay. */
export class RelayedRowStore implements RowStore {
  private noRelayUntil = -Infinity;
  private relaying = false;
  private answeredAt = -Infinity;
  private newest = 0;
  /** Who answered last. */
  private lastRelay: RowStoreRelay | undefined;

  /**
   * What other hosts may use: the own way to the store, while there is one.
   *
   * Guards against a call that goes from one cut off host to another and waits for
   * the timeouts of both.
   */
  readonly forPeers: RowStoreRelay = {
    transact: transaction => this.ownWay(store => store.transact(transaction)),
    read: query => this.ownWay(store => store.read(query)),
    changes: (table, after, waitMs) =>
      this.ownWay(store => store.changes(table, after, waitMs)),
  };

  /**
   * @param direct - The own way to the store.
   * @param context - Relays, and where events go.
   */
  constructor(
    private readonly direct: RowStore,
    private readonly context: RelayContext,
  ) {}

  /** Milliseconds since the store last answered, by whichever way. */
  get sinceAnswerMs(): number {
    return this.context.clock.now() - this.answeredAt;
  }

  /** The newest version that any answer has shown. */
  get newestVersion(): number {
    return this.newest;
  }

  /** {@inheritDoc RowStore.transact} */
  transact(transaction: RowTransaction): RowStoreOutcome<StoreMoment> {
    return this.call(store => store.transact(transaction));
  }

  /** {@inheritDoc RowStore.read} */
  read(query: RowQuery): RowStoreOutcome<RowPage> {
    return this.call(store => store.read(query));
  }

  /** {@inheritDoc RowStore.changes} */
  changes(
    table: string,
    after: number,
    waitMs: number,
  ): RowStoreOutcome<RowChanges> {
    return this.call(store => store.changes(table, after, waitMs));
  }

  /** {@inheritDoc RowStore.storeTimeMs} */
  storeTimeMs(): number | undefined {
    return this.direct.storeTimeMs();
  }

  /** {@inheritDoc RowStore.putObject} */
  putObject(name: string, bytes: Uint8Array): RowStoreOutcome<void> {
    return this.direct.putObject(name, bytes);
  }

  /** {@inheritDoc RowStore.getObject} */
  getObject(name: string): RowStoreOutcome<Uint8Array> {
    return this.direct.getObject(name);
  }

  /** {@inheritDoc RowStore.removeObject} */
  removeObject(name: string): RowStoreOutcome<void> {
    return this.direct.removeObject(name);
  }

  private async call<T extends StoreMoment>(call: Call<T>): RowStoreOutcome<T> {
    const outcome = await this.eitherWay(call);
    if (!isAway(outcome)) this.answeredAt = this.context.clock.now();
    if (outcome.ok) this.newest = Math.max(this.newest, outcome.value.version);
    return outcome;
  }

  private async eitherWay<T>(call: Call<T>): RowStoreOutcome<T> {
    if (this.relaying) {
      const relayed = await this.relay(call);
      if (relayed && !isAway(relayed)) return relayed;
      return merged(relayed, await call(this.direct));
    }
    const direct = await call(this.direct);
    if (!isAway(direct)) return direct;
    const relayed = await this.relay(call);
    if (!relayed || isAway(relayed)) return merged(relayed, direct);
    this.beginRelaying();
    return merged(direct, relayed);
  }

  private async relay<T>(
    call: Call<T>,
  ): Promise<Outcome<T, RowStoreError> | undefined> {
    const {clock, relays} = this.context;
    if (clock.now() < this.noRelayUntil) return undefined;
    const hosts = [...relays()];
    let relayed: Outcome<T, RowStoreError> | undefined;
    for (let tries = 0; tries < RELAY_TRIES && hosts.length > 0; tries++) {
      relayed = await this.relayBy(this.takeRelay(hosts), call);
      if (!wasRefused(relayed)) break;
    }
    if (relayed && isAway(relayed))
      this.noRelayUntil = clock.now() + RELAY_PAUSE_MS;
    return relayed;
  }

  private async relayBy<T>(
    host: RowStoreRelay,
    call: Call<T>,
  ): RowStoreOutcome<T> {
    const relayed = await call(host);
    const away = isAway(relayed);
    this.context.counters.count('store_relays', {
      outcome: away ? 'failed' : 'done',
    });
    this.lastRelay = away ? undefined : host;
    return relayed;
  }

  /** Takes one out of the list: who answered last, or any. */
  private takeRelay(hosts: RowStoreRelay[]): RowStoreRelay {
    const last = this.lastRelay ? hosts.indexOf(this.lastRelay) : -1;
    const at = last >= 0 ? last : this.context.random.int(hosts.length);
    return hosts.splice(at, 1)[0]!;
  }

  private async ownWay<T>(call: Call<T>): RowStoreOutcome<T> {
    return this.relaying ? failure(NO_OWN_WAY) : call(this.direct);
  }

  private beginRelaying(): void {
    if (this.relaying) return;
    this.relaying = true;
    this.context.log.event('store-relayed');
    void this.probe();
  }

  private async probe(): Promise<void> {
    while (this.relaying) {
      await sleep(this.context.clock, PROBE_MS);
      const {table, partition} = this.context.probe;
      const read = await this.direct.read({table, partition, limit: 1});
      if (!isAway(read)) this.relaying = false;
    }
    this.context.log.event('store-direct');
  }
}

/** Whether it said at once that it did nothing. */
function wasRefused<T>(outcome: Outcome<T, RowStoreError>): boolean {
  return !outcome.ok && outcome.err.kind === 'refused';
}

/** Whether the store could not be asked. */
function isAway<T>(outcome: Outcome<T, RowStoreError>): boolean {
  if (outcome.ok) return false;
  return outcome.err.kind === 'refused' || outcome.err.kind === 'unknown';
}

/** What two tries come to: after one without an answer, a refusal of the other
 * does not say that nothing was done. */
function merged<T>(
  first: Outcome<T, RowStoreError> | undefined,
  last: Outcome<T, RowStoreError>,
): Outcome<T, RowStoreError> {
  if (!first || first.ok || last.ok) return last;
  const unsure = first.err.kind === 'unknown' && last.err.kind === 'refused';
  return unsure ? failure(first.err) : last;
}
