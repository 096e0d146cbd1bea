/**
 * A row store client that relays calls through other hosts while this host
 * cannot reach the store directly.
 *
 * The store may serve some hosts but not others, or the network between one host
 * and the store may be partitioned. The host then sees refusals and timeouts
 * while other hosts are served. Without relays it would lose its lease, the
 * results of its batch items, and configuration changes.
 *
 * A write that is sent both directly and through a relay takes effect once,
 * because each write either expects row versions or is idempotent. A host relays
 * only over its direct connection to the store, so calls cannot loop.
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
  StoreTimestamp,
} from './row_store.js';
import {StoreTime} from './store_time.js';

/** Another host that forwards calls to the store. */
export type RowStoreRelay = Pick<RowStore, 'transact' | 'read' | 'changes'>;

/** Dependencies of a {@link RelayedRowStore}. */
export interface RelayContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  readonly counters: Counters;
  /** Returns the hosts that are currently available as relays. */
  readonly relays: () => readonly RowStoreRelay[];
  /** Where a row is read to probe whether the store is directly reachable. */
  readonly probe: Pick<RowQuery, 'table' | 'partition'>;
}

/**
 * Interval of probes of the direct connection while calls are relayed, in
 * milliseconds. A probe is a separate read, so that no call has to wait for a
 * store that is unresponsive.
 */
const PROBE_INTERVAL_MS = 1000;
/**
 * Time for which no relay is used after relaying has failed as well, in
 * milliseconds. The store is then assumed to be down for all hosts, and calls
 * that it refuses still have a cost.
 */
const RELAY_BACKOFF_MS = 400;
/**
 * Maximum number of relays that are tried in sequence for one call. A relay that
 * has no direct connection to the store refuses at once, so the next one is
 * tried without waiting for a timeout.
 */
const MAX_RELAY_ATTEMPTS = 3;
const NO_DIRECT_ACCESS: RowStoreError = {
  kind: 'refused',
  message: 'this host has no way to the store of its own',
};

type Call<T> = (store: RowStoreRelay) => RowStoreOutcome<T>;

/** Calls the store directly and falls back to relays if it is unreachable. */
export class RelayedRowStore implements RowStore {
  private relayBackoffUntil = -Infinity;
  private relaying = false;
  private lastResponseAt = -Infinity;
  private newest = 0;
  private readonly storeTime: StoreTime;
  /** The relay that last succeeded; tried first. */
  private lastSuccessfulRelay: RowStoreRelay | undefined;

  /**
   * The relay that this host offers to other hosts. It uses the direct
   * connection and refuses calls while this host itself depends on relays.
   * Otherwise a call could go from one partitioned host to another and wait for
   * the timeouts of both.
   */
  readonly relayForPeers: RowStoreRelay = {
    transact: transaction =>
      this.callDirect(store => store.transact(transaction)),
    read: query => this.callDirect(store => store.read(query)),
    changes: (table, after, waitMs) =>
      this.callDirect(store => store.changes(table, after, waitMs)),
  };

  /**
   * @param direct - Client with a direct connection to the store.
   * @param context - Relays, clock, log and counters.
   */
  constructor(
    private readonly direct: RowStore,
    private readonly context: RelayContext,
  ) {
    this.storeTime = new StoreTime(context.clock);
  }

  /** Milliseconds since the store last responded, directly or by relay. */
  get sinceResponseMs(): number {
    return this.context.clock.now() - this.lastResponseAt;
  }

  /** The highest version seen in any response. */
  get newestVersion(): number {
    return this.newest;
  }

  /** {@inheritDoc RowStore.transact} */
  transact(transaction: RowTransaction): RowStoreOutcome<StoreTimestamp> {
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
    return this.storeTime.currentMs ?? this.direct.storeTimeMs();
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

  private async call<T extends StoreTimestamp>(
    call: Call<T>,
  ): RowStoreOutcome<T> {
    const startedAt = this.context.clock.now();
    const outcome = await this.callDirectOrRelayed(call);
    if (!isUnreachable(outcome)) this.lastResponseAt = this.context.clock.now();
    if (outcome.ok) {
      this.newest = Math.max(this.newest, outcome.value.version);
      this.storeTime.record(outcome.value.storeTimeMs, startedAt);
    }
    return outcome;
  }

  private async callDirectOrRelayed<T>(call: Call<T>): RowStoreOutcome<T> {
    if (this.relaying) {
      const relayed = await this.relay(call);
      if (relayed && !isUnreachable(relayed)) return relayed;
      return mergeOutcomes(relayed, await call(this.direct));
    }
    const direct = await call(this.direct);
    if (!isUnreachable(direct)) return direct;
    const relayed = await this.relay(call);
    if (!relayed || isUnreachable(relayed))
      return mergeOutcomes(relayed, direct);
    this.startRelaying();
    return mergeOutcomes(direct, relayed);
  }

  private async relay<T>(
    call: Call<T>,
  ): Promise<Outcome<T, RowStoreError> | undefined> {
    const {clock, relays} = this.context;
    if (clock.now() < this.relayBackoffUntil) return undefined;
    const hosts = [...relays()];
    let relayed: Outcome<T, RowStoreError> | undefined;
    for (
      let attempt = 0;
      attempt < MAX_RELAY_ATTEMPTS && hosts.length > 0;
      attempt++
    ) {
      relayed = await this.relayThrough(this.takeRelay(hosts), call);
      if (!wasRefused(relayed)) break;
    }
    if (relayed && isUnreachable(relayed))
      this.relayBackoffUntil = clock.now() + RELAY_BACKOFF_MS;
    return relayed;
  }

  private async relayThrough<T>(
    host: RowStoreRelay,
    call: Call<T>,
  ): RowStoreOutcome<T> {
    const relayed = await call(host);
    const unreachable = isUnreachable(relayed);
    this.context.counters.count('store_relays', {
      outcome: unreachable ? 'failed' : 'done',
    });
    this.lastSuccessfulRelay = unreachable ? undefined : host;
    return relayed;
  }

  /**
   * Removes a relay from the list and returns it: the one that last succeeded,
   * or else a random one.
   */
  private takeRelay(hosts: RowStoreRelay[]): RowStoreRelay {
    const last = this.lastSuccessfulRelay
      ? hosts.indexOf(this.lastSuccessfulRelay)
      : -1;
    const at = last >= 0 ? last : this.context.random.int(hosts.length);
    return hosts.splice(at, 1)[0]!;
  }

  private async callDirect<T>(call: Call<T>): RowStoreOutcome<T> {
    return this.relaying ? failure(NO_DIRECT_ACCESS) : call(this.direct);
  }

  private startRelaying(): void {
    if (this.relaying) return;
    this.relaying = true;
    this.context.log.event('store-relayed');
    void this.probeDirect();
  }

  private async probeDirect(): Promise<void> {
    while (this.relaying) {
      await sleep(this.context.clock, PROBE_INTERVAL_MS);
      const {table, partition} = this.context.probe;
      const read = await this.direct.read({table, partition, limit: 1});
      if (!isUnreachable(read)) this.relaying = false;
    }
    this.context.log.event('store-direct');
  }
}

/** Whether the call was refused and so had no effect. */
function wasRefused<T>(outcome: Outcome<T, RowStoreError>): boolean {
  return !outcome.ok && outcome.err.kind === 'refused';
}

/** Whether the call was refused or received no response. */
function isUnreachable<T>(outcome: Outcome<T, RowStoreError>): boolean {
  if (outcome.ok) return false;
  return outcome.err.kind === 'refused' || outcome.err.kind === 'unknown';
}

/**
 * Combines the outcomes of two attempts of the same call. If the first one got
 * no response, a refusal of the second one does not show that the call had no
 * effect, so the outcome stays unknown.
 */
function mergeOutcomes<T>(
  first: Outcome<T, RowStoreError> | undefined,
  last: Outcome<T, RowStoreError>,
): Outcome<T, RowStoreError> {
  if (!first || first.ok || last.ok) return last;
  const inDoubt = first.err.kind === 'unknown' && last.err.kind === 'refused';
  return inDoubt ? failure(first.err) : last;
}
