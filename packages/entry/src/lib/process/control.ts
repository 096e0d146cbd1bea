/**
 * The configuration at one entry: kept current, changed by operators, watched,
 * rolled out, and shown as status.
 */
import {
  ConfigCache,
  ConfigStore,
  ResourceApi,
  RolloutLeader,
  StatusBoard,
  Watch,
} from '@oathead/config';
import type {ConfigPeers, OrderSender, StatusReport} from '@oathead/config';
import {DisposableStore, repeat} from '@oathead/core';
import type {Clock, Counters, Random} from '@oathead/core';
import {HEAD_ROW} from '@oathead/membership';
import type {Membership} from '@oathead/membership';
import type {Platform} from '@oathead/stores';

/** What the configuration needs. */
export interface ControlDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly platform: Platform;
  readonly membership: Membership;
  readonly peers: ConfigPeers;
  readonly orders: OrderSender;
}

const REFRESH_MS = 1000;

/** The configuration at one entry. */
export class Control implements Disposable {
  /** What is declared, as this entry knows it. */
  readonly cache: ConfigCache;
  /** What is heard of targets and entries. */
  readonly board: StatusBoard;
  /** Answers operators. */
  readonly api: ResourceApi;
  private readonly held = new DisposableStore();
  private readonly leader: RolloutLeader;

  /** @param deps - Stores, clock, and ways to other processes. */
  constructor(private readonly deps: ControlDeps) {
    const {clock, random, counters, platform, membership} = deps;
    const {table, weights} = platform;
    const base = {store: table, headRow: HEAD_ROW, clock, random, counters};
    this.cache = this.held.add(
      new ConfigCache({...base, head: membership, peers: deps.peers}),
    );
    this.board = new StatusBoard(clock, this.cache);
    const store = new ConfigStore({
      ...base,
      // The store can go down just after it took a change: the entry that knows
      // of the change passes it on to the others.
      onCommitted: change => this.cache.offer([change]),
    });
    const watch = new Watch(this.cache, clock);
    const {cache, board} = this;
    this.api = new ResourceApi({store, cache, watch, board});
    this.leader = this.held.add(
      new RolloutLeader({
        table,
        weights,
        membership,
        fleet: () => board.fleet(),
        orders: deps.orders,
        clock,
        random,
        counters,
      }),
    );
  }

  /** Loads the configuration; it is kept current from then on. */
  async start(): Promise<void> {
    await this.cache.start();
    this.leader.start();
    this.held.add(
      repeat(this.deps.clock, REFRESH_MS, () => void this.refresh()),
    );
  }

  /** @returns What `GET /v1/status` tells. */
  status(): StatusReport {
    this.refresh();
    return this.board.report([]);
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private refresh(): void {
    const {entryId} = this.deps.membership;
    this.board.heardEntry(entryId, this.cache.current().revision);
    this.board.refresh();
  }
}
