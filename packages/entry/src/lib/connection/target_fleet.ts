/** The targets of an entry, kept as declared, listed and heard of. */
import {
  DisposableStore,
  LinkLostError,
  TARGET_TRAFFIC,
  TargetChooser,
  rendezvous,
  repeat,
  subsetOf,
} from '@oathead/core';
import type {
  ChoiceRequest,
  Clock,
  ConfigView,
  Counters,
  LoadReport,
  Order,
  OrderOutcome,
  Random,
  Resource,
  ServeOutcome,
  TargetState,
} from '@oathead/core';
import {readOrderFence, targetConfigFor} from '@oathead/config';
import type {StatusBoard} from '@oathead/config';
import type {Membership} from '@oathead/membership';
import type {HostList, TableStore} from '@oathead/stores';
import type {ReportingLink} from '@oathead/wire';
import type {Attempt, Fleet, TargetQuery} from './fleet.js';
import {TargetConnection} from './target_connection.js';

/** What the fleet needs. */
export interface TargetFleetOptions {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly cfg: ConfigView;
  readonly membership: Membership;
  readonly hosts: HostList;
  /** Opens a link to the target process at an address. */
  readonly linkTo: (
    targetId: string,
    address: string,
  ) => ReportingLink & Disposable;
  /** Fingerprints of work that must not run. */
  readonly blocked: () => readonly string[];
  /** Where the token of the current holder of orders is read. */
  readonly table: TableStore;
  /** Told what is heard of targets. */
  readonly board: StatusBoard;
  readonly settings: FleetSettings;
}

/** Bounds of the fleet. */
export interface FleetSettings {
  readonly heartbeatMs: number;
  readonly hostListMs: number;
  /** Entries that keep a connection to one target. */
  readonly entriesPerTarget: number;
  /** Round trip to another data centre, in milliseconds. */
  readonly farRoundTripMs: number;
}

/** Targets that remember the outcome of one key. */
const KEY_TARGETS = 2;
const NEAR_ROUND_TRIP_MS = 0.5;
/** Prompt characters whose cached work is worth going to the same target for. */
const PREFIX_CHARACTERS = 256;

/** A target as `status` shows it. */
export interface TargetView {
  readonly targetId: string;
  readonly state: TargetState;
  readonly report?: LoadReport;
}

/** The targets of an entry. */
export class TargetFleet implements Fleet, Disposable {
  private readonly held = new DisposableStore();
  private readonly connections = new Map<string, TargetConnection>();
  private readonly addresses = new Map<string, string>();
  private readonly chooser: TargetChooser;
  private readonly roomCallbacks = new Set<() => void>();
  private listedLeaving: ReadonlySet<string> = new Set();
  /** Worked out from all entries and targets, so only when these change. */
  private subset: Subset | undefined;

  /** @param options - What the fleet needs. */
  constructor(private readonly options: TargetFleetOptions) {
    const {cfg, membership, clock, settings} = options;
    this.chooser = new TargetChooser({
      dataCentre: options.dataCentre,
      random: options.random,
      roundTripMs: dataCentre =>
        dataCentre === options.dataCentre
          ? NEAR_ROUND_TRIP_MS
          : settings.farRoundTripMs,
    });
    this.held.add(cfg.onChange(() => this.reconcile()));
    this.held.add(membership.onHead(() => this.reconcile()));
    this.held.add(
      repeat(clock, settings.hostListMs, () => this.readHostList()),
    );
    this.held.defer(() => {
      for (const connection of this.connections.values()) {
        connection[Symbol.dispose]();
      }
    });
    this.reconcile();
  }

  /** {@inheritDoc Fleet.begin} */
  begin(query: TargetQuery): Attempt | undefined {
    const req = this.choiceRequest(query);
    const targetId =
      this.chooser.choose(this.narrowed(req, query)) ??
      this.chooser.choose(req);
    if (targetId === undefined) return undefined;
    const connection = this.connections.get(targetId);
    if (!connection) return undefined;
    this.chooser.recordSent(targetId, req, this.options.clock.now());
    return this.attempt(targetId, connection.link);
  }

  /** @returns Batch items of a pool that the targets would take now. */
  batchRoom(pool: string): number {
    return this.chooser.batchRoom(pool);
  }

  /** Calls back when batch room may have grown. */
  onRoom(callback: () => void): Disposable {
    this.roomCallbacks.add(callback);
    return {[Symbol.dispose]: () => void this.roomCallbacks.delete(callback)};
  }

  /** @returns The targets that remember a key, most preferred first. */
  targetsOfKey(pool: string, dedupeKey: string): readonly ReportingLink[] {
    return this.namesForKey(pool, dedupeKey).flatMap(name => {
      const connection = this.connections.get(name);
      return connection ? [connection.link] : [];
    });
  }

  /** @returns The targets of this entry, as `status` shows them. */
  views(): readonly TargetView[] {
    return [...this.connections].map(([targetId, connection]) => ({
      targetId,
      state: connection.targetState,
      ...(connection.lastReport ? {report: connection.lastReport} : {}),
    }));
  }

  /** @returns Links to all targets of this entry. */
  links(): readonly ReportingLink[] {
    return [...this.connections.values()].map(({link}) => link);
  }

  /**
   * Sends an order to a target of this entry.
   *
   * @returns Its outcome; undefined when it is not known.
   */
  async order(
    targetId: string,
    order: Order,
    signal: AbortSignal,
  ): Promise<OrderOutcome | undefined> {
    try {
      return await this.connections.get(targetId)?.link.order(order, signal);
    } catch (err) {
      if (err instanceof LinkLostError) return undefined;
      throw err;
    }
  }

  /** Whether a target that serves the pool is known to be ready. */
  serves(pool: string): boolean {
    return this.views().some(({report}) =>
      report?.versions.some(v => v.pool === pool && v.state === 'ready'),
    );
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private attempt(targetId: string, link: ReportingLink): Attempt {
    const {clock} = this.options;
    const {health} = this.chooser;
    const sentAt = clock.now();
    return {
      targetId,
      link,
      firstToken: () =>
        health.recordSuccess(targetId, clock.now() - sentAt, clock.now()),
      ended: outcome => this.ended(targetId, outcome),
    };
  }

  private ended(targetId: string, outcome: ServeOutcome | undefined): void {
    if (!outcome || outcome.kind !== 'refused') return;
    const {kind, ran} = outcome.refusal;
    if (kind === 'overloaded') this.chooser.recordRefusal(targetId);
    if (ran === 'may-have-run' && TARGET_FAULTS.has(kind)) {
      this.chooser.health.recordFailure(targetId, this.options.clock.now());
    }
  }

  private choiceRequest(query: TargetQuery): ChoiceRequest {
    const {pool, promptTokens, tried, adapter, prefix} = query;
    return {
      pool,
      class: query.class,
      promptTokens,
      tried,
      ...(adapter === undefined ? {} : {adapter}),
      ...(prefix === undefined
        ? {}
        : {prefix: prefix.slice(0, PREFIX_CHARACTERS)}),
    };
  }

  /** Online requests with a key go to the targets that remember it. */
  private narrowed(req: ChoiceRequest, query: TargetQuery): ChoiceRequest {
    if (query.dedupeKey === undefined || query.class === 'batch') return req;
    const keep = new Set(this.namesForKey(query.pool, query.dedupeKey));
    const others = [...this.connections.keys()].filter(id => !keep.has(id));
    return {...req, tried: new Set([...req.tried, ...others])};
  }

  private namesForKey(pool: string, dedupeKey: string): readonly string[] {
    const names = this.options.cfg
      .current()
      .all('targets')
      .filter(({spec}) => spec.pools.includes(pool))
      .map(({name}) => name)
      .filter(name => this.connections.has(name));
    return rendezvous(dedupeKey, names).slice(0, KEY_TARGETS);
  }

  /** Opens and closes connections so that they are those this entry keeps. */
  private reconcile(): void {
    const declared = this.options.cfg.current().all('targets');
    const mine = new Set(this.mine(declared));
    for (const [targetId, connection] of this.connections) {
      if (mine.has(targetId)) continue;
      connection[Symbol.dispose]();
      this.connections.delete(targetId);
      this.chooser.forget(targetId);
    }
    for (const target of declared) {
      if (!mine.has(target.name)) continue;
      this.keep(target);
    }
  }

  private mine(declared: readonly Resource<'targets'>[]): readonly string[] {
    const entries = this.options.membership.peers().map(peer => peer.entryId);
    const names = declared.map(({name}) => name);
    const known = this.subset;
    if (known && isSame(known.entries, entries) && isSame(known.names, names)) {
      return known.mine;
    }
    const mine = this.subsetFrom(entries, names);
    this.subset = {entries, names, mine};
    return mine;
  }

  private subsetFrom(
    entries: readonly string[],
    names: readonly string[],
  ): readonly string[] {
    const {entryId, settings} = this.options;
    if (!entries.includes(entryId)) return names;
    return subsetOf(entryId, entries, names, settings.entriesPerTarget);
  }

  private keep({name, spec}: Resource<'targets'>): void {
    let connection = this.connections.get(name);
    if (connection && this.addresses.get(name) !== spec.address) {
      connection[Symbol.dispose]();
      this.chooser.forget(name);
      connection = undefined;
    }
    if (!connection) {
      connection = this.open(name, spec.address);
      this.connections.set(name, connection);
      this.addresses.set(name, spec.address);
    }
    connection.refresh();
  }

  private open(targetId: string, address: string): TargetConnection {
    const {options, chooser} = this;
    return new TargetConnection({
      targetId,
      entryId: options.entryId,
      link: options.linkTo(targetId, address),
      clock: options.clock,
      counters: options.counters,
      heartbeatMs: options.settings.heartbeatMs,
      cfg: () =>
        targetConfigFor(options.cfg.current(), targetId, options.blocked()),
      leaving: () => this.isLeaving(targetId),
      onReport: report => this.reported(report),
      onState: state => {
        chooser.setAcceptsNew(targetId, TARGET_TRAFFIC[state].acceptsNew);
        if (state === 'suspected') options.board.lostTarget(targetId);
      },
      readOrderFence: () => this.readOrderFence(),
      onRestart: () => chooser.forget(targetId),
    });
  }

  private async readOrderFence(): Promise<number | undefined> {
    const token = await readOrderFence(this.options.table);
    return token.ok ? token.value : undefined;
  }

  private isLeaving(targetId: string): boolean {
    const target = this.options.cfg.current().get('targets', targetId);
    return (target?.spec.leaving ?? true) || this.listedLeaving.has(targetId);
  }

  private reported(report: LoadReport): void {
    this.options.board.heardTarget(report.targetId, report);
    this.chooser.report(report, this.options.clock.now());
    if (report.batchRoom <= 0) return;
    for (const callback of this.roomCallbacks) callback();
  }

  private async readHostList(): Promise<void> {
    const hosts = await this.options.hosts.hosts();
    if (!hosts.ok) {
      this.options.counters.count('host_list_failures');
      return;
    }
    const leaving = hosts.value.filter(
      ({role, state}) => role === 'target' && state === 'leaving',
    );
    this.listedLeaving = new Set(leaving.map(({id}) => id));
    this.reconcile();
  }
}

const TARGET_FAULTS: ReadonlySet<string> = new Set([
  'engine-failed',
  'target-lost',
  'internal',
]);

/** Which targets are this entry's, and what that was worked out from. */
interface Subset {
  readonly entries: readonly string[];
  readonly names: readonly string[];
  readonly mine: readonly string[];
}

function isSame(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name, i) => name === b[i]);
}
