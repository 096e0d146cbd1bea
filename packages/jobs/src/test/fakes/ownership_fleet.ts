/** Hosts that own jobs, on one store and in virtual time. */
import {NO_LATENCIES, seededRandom, success} from '@oathead/core';
import type {Membership} from '@oathead/gateway';
import {
  encodeJson,
  MemoryRowStore,
  type RowStore,
  type VersionedRow,
} from '@oathead/stores';
import {JobOwnership} from '../../lib/process/job_ownership.js';
import type {JobReader} from '../../lib/request/job_reader.js';
import {
  HEAD_TABLE,
  headRef,
  type JobHead,
  type VersionedHead,
} from '../../lib/request/job_rows.js';
import {RecordedEvents} from './recorded_events.js';
import {VirtualClock} from './virtual_clock.js';

/** An open job without items. */
export const OPEN_JOB: JobHead = {
  id: 'j',
  hostName: 'h',
  items: 1,
  acceptedAtMs: 0,
  completionGoalMs: 1,
  retentionMs: 1,
  maxAttempts: 1,
  owner: 'ended',
  state: 'open',
  listed: 0,
  failures: {},
  nonce: 'first',
  content: {kind: 'rows', pieces: 1},
};
/** Interval at which the feeds bring changes to the hosts, in milliseconds. */
const FEED_MS = 300;

/** A job without items and results. */
export const EMPTY_READER = {
  items: async () => success([]),
  allResults: async () => success([]),
} as unknown as JobReader;

/** A job with one item and no results. */
export const ONE_ITEM_READER = {
  items: async () =>
    success([
      {id: 'i', path: '/', headers: {}, body: new Uint8Array(), tokens: 1},
    ]),
  allResults: async () => success([]),
} as unknown as JobReader;

/** How a host of the fleet differs from the others. */
export interface FleetHostOptions {
  readonly store?: RowStore;
  readonly reader?: JobReader;
  /** Live hosts that the host takes for dead. */
  readonly takesForDead?: readonly string[];
  /** Whether the host's feed skips the row of this version. */
  readonly skips?: (version: number) => boolean;
}

/** A host of the fleet. */
export class FleetHost {
  readonly log = new RecordedEvents();
  readonly ownership: JobOwnership;
  private version = 0;

  constructor(
    readonly name: string,
    private readonly fleet: OwnershipFleet,
    private readonly options: FleetHostOptions,
  ) {
    const {clock, store} = fleet;
    const dead = ['ended', ...(options.takesForDead ?? [])];
    const live = () =>
      fleet.live().flatMap(id => (dead.includes(id) ? [] : {id}));
    const membership = {
      self: {id: name},
      isInitialized: true,
      live,
      peers: () => live().filter(({id}) => id !== name),
      isReplaced: (id: string) => dead.includes(id),
      hasLapsed: () => false,
    } as unknown;
    this.ownership = new JobOwnership({
      store: options.store ?? store,
      clock,
      random: seededRandom(name.length + name.charCodeAt(0)),
      log: this.log,
      counters: this.log,
      latencies: NO_LATENCIES,
      limits: {
        rowBytes: 1024,
        transactionBytes: 1024,
        objectBytes: 1024,
        acrossPartitions: true,
      },
      reader: options.reader ?? EMPTY_READER,
      membership: membership as Membership,
      tellOwner: fleet.tellOwner,
    });
  }

  /** Applies the changes since the last call, as a watch on the heads does. */
  async follow(): Promise<void> {
    const {store} = this.fleet;
    const read = await store.changes(HEAD_TABLE, this.version, 0);
    if (!read.ok) return;
    const {changes, version, storeTimeMs} = read.value;
    this.version = version;
    const put = changes
      .flatMap(change => (change.kind === 'put' ? change.row : []))
      .filter(row => !this.options.skips?.(row.version));
    this.ownership.update({put, removed: [], storeTimeMs});
  }

  /** Log lines of a name. */
  lines(name: string) {
    return this.log.events.filter(event => event.name === name);
  }

  /** IDs of the jobs that this host processes. */
  get jobs(): readonly string[] {
    return [...this.ownership.jobs()].map(({head}) => head.id);
  }
}

/** The hosts, their store and their clock. */
export class OwnershipFleet implements Disposable {
  readonly clock = new VirtualClock();
  readonly hosts: FleetHost[] = [];

  constructor(
    readonly store: MemoryRowStore = new MemoryRowStore(new VirtualClock()),
  ) {}

  /** Tells a host of a job that it owns, at once. */
  readonly tellOwner = (owner: string, row: VersionedRow): void => {
    const host = this.hosts.find(({name}) => name === owner);
    host?.ownership.learnTold(row);
  };

  /** Member IDs of the live hosts. */
  live(): readonly string[] {
    return this.hosts.map(({name}) => name);
  }

  /** Starts a host. */
  add(name: string, options: FleetHostOptions = {}): FleetHost {
    const host = new FleetHost(name, this, options);
    this.hosts.push(host);
    host.ownership.start();
    return host;
  }

  /** Stops all hosts. */
  [Symbol.dispose](): void {
    for (const {ownership} of this.hosts) ownership[Symbol.dispose]();
  }

  /** Writes the head of a job. */
  async write(head: JobHead): Promise<VersionedHead> {
    const puts = [{...headRef(head.id), value: encodeJson(head)}];
    const written = await this.store.transact({expect: [], puts, removes: []});
    return {head, version: written.ok ? written.value.version : 0};
  }

  /** Lets time pass, with the feeds of all hosts running. */
  async advance(ms: number): Promise<void> {
    const until = this.clock.now() + ms;
    while (this.clock.now() < until) {
      for (const host of this.hosts) await host.follow();
      await this.clock.advance(Math.min(FEED_MS, until - this.clock.now()));
    }
  }
}
