/** Which target gets the next request: the least loaded, near ones first. */
import type {Random, WaitDemand} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {HomeTargets} from './home_targets.js';
import type {Lane, LoadTable, TargetLoad} from './load_table.js';
import type {ServiceHealth} from './service_health.js';
import type {ServiceOverload} from './service_overload.js';
import type {TargetDirectory} from './target_directory.js';
import type {TargetSuspensions} from './target_suspensions.js';
import {sharesOfExcess} from './yield_order.js';

/** How targets are compared, all in requests in flight. */
export interface ChoiceWeights {
  /** How much less loaded a target in another data centre must be: bytes
   * between data centres are dear. */
  readonly remotePenalty: Readonly<Record<Lane, number>>;
  /** Up to which share of its slots a target is filled with batch items: the
   * rest is free for the first requests of a burst. */
  readonly batchStartShare: Readonly<Record<BatchPressure, number>>;
  /** Beyond which share of its slots batch items give way. */
  readonly batchYieldShare: number;
}

/** Whether items have time to wait for a quiet moment, or are due soon. */
export type BatchPressure = 'relaxed' | 'pressed';

/** Seven of eight slots are filled with items that have time, all with those
 * that are due soon; items give way when an online request would have to wait. */
export const DEFAULT_CHOICE_WEIGHTS: ChoiceWeights = {
  remotePenalty: {online: 1.5, batch: 3},
  batchStartShare: {relaxed: 0.875, pressed: 1},
  batchYieldShare: 1,
};

/** What a choice goes by. */
export interface ChoiceView {
  readonly targets: number;
  readonly suspended: number;
  /** The fewest online requests in flight at any of them. */
  readonly leastOnline: number | undefined;
}

type HasRoom = (target: Target, load: TargetLoad) => boolean;

/** What a {@link TargetChooser} needs. */
export interface TargetChooserContext {
  readonly dataCentre: string;
  readonly directory: TargetDirectory;
  readonly suspensions: TargetSuspensions;
  readonly health: ServiceHealth;
  readonly overload: ServiceOverload;
  readonly loads: LoadTable;
  readonly homes: HomeTargets;
  readonly random: Random;
}

/** Chooses targets by the loads of all hosts. */
export class TargetChooser {
  /**
   * @param context - What is known of the targets.
   * @param weights - How they are compared.
   */
  constructor(
    private readonly context: TargetChooserContext,
    private readonly weights: ChoiceWeights = DEFAULT_CHOICE_WEIGHTS,
  ) {}

  /**
   * @param service - Whose targets can do it.
   * @param demand - How long it may wait there.
   * @param tried - Targets that had their try.
   * @returns The target with the lowest score; undefined: none has room.
   */
  forRequest(
    service: string,
    demand: WaitDemand,
    tried: ReadonlySet<string>,
  ): Target | undefined {
    const {overload} = this.context;
    const hasRoom: HasRoom = (target, {online}) =>
      online < target.slots + overload.waitingPlaces(target, demand);
    const isOpen = ({id}: Target) => !this.context.suspensions.has(id);
    const targets = this.context.directory
      .ofService(service)
      .filter(({id}) => !tried.has(id));
    // When all have failed lately, the fault may be on the way to them: to wait
    // for the end of their suspensions would refuse what they could do.
    const open = targets.some(isOpen) ? targets.filter(isOpen) : targets;
    return this.best(open, 'online', hasRoom);
  }

  /**
   * @param service - Whose targets can do it.
   * @param pressure - Whether the item is due soon.
   * @returns The target with the lowest score; undefined: none has room.
   */
  forItem(service: string, pressure: BatchPressure): Target | undefined {
    const {directory, homes} = this.context;
    const all = directory.ofService(service);
    const mine = pressure === 'relaxed' ? homes.among(all) : all;
    return this.bestForItem(mine, pressure);
  }

  /**
   * @param service - Whose targets can do it.
   * @param demand - How long it may wait there.
   * @param excluded - Targets, by id, that are out of the question.
   * @returns The near target with the lowest score; undefined: none has room.
   */
  forRequestNear(
    service: string,
    demand: WaitDemand,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {directory, dataCentre} = this.context;
    const far = directory
      .ofService(service)
      .filter(target => target.dataCentre !== dataCentre);
    const ids = [...excluded, ...far.map(({id}) => id)];
    return this.forRequest(service, demand, new Set(ids));
  }

  private bestForItem(
    targets: readonly Target[],
    pressure: BatchPressure,
  ): Target | undefined {
    const {suspensions} = this.context;
    const share = this.weights.batchStartShare[pressure];
    const open = targets.filter(({id}) => !suspensions.has(id));
    return this.best(open, 'batch', ({slots}, {online, batch}) => {
      return online + batch < slots * share;
    });
  }

  /**
   * The same for any host of the data centre, by the one that coordinates it.
   *
   * @param service - Whose targets can do it.
   * @param pressure - Whether the item is due soon.
   * @param excluded - Targets, by id, that are out of the question.
   * @returns The target with the lowest score; undefined: none has room.
   */
  forItemOfDataCentre(
    service: string,
    pressure: BatchPressure,
    excluded: ReadonlySet<string>,
  ): Target | undefined {
    const {directory, dataCentre} = this.context;
    const all = directory
      .ofService(service)
      .filter(({id}) => !excluded.has(id));
    const near = all.filter(target => target.dataCentre === dataCentre);
    return this.bestForItem(pressure === 'relaxed' ? near : all, pressure);
  }

  /**
   * @param target - A target.
   * @param share - Of its slots.
   * @returns Whether it is near and no more than that share is in use.
   */
  isCalm({id, slots, dataCentre}: Target, share: number): boolean {
    const {online, batch} = this.context.loads.at(targetKey(id));
    const isNear = dataCentre === this.context.dataCentre;
    return isNear && online + batch < slots * share;
  }

  /** @returns Targets of a service, by id, that have just failed this host. */
  suspended(service: string): readonly string[] {
    const {directory, suspensions} = this.context;
    const ids = directory.ofService(service).map(({id}) => id);
    return ids.filter(id => suspensions.has(id));
  }

  /** @returns Whether a service has a target, full or not, that was not tried. */
  hasOther(service: string, tried: ReadonlySet<string>): boolean {
    const targets = this.context.directory.ofService(service);
    return targets.some(({id}) => !tried.has(id));
  }

  /** @returns What a choice among a service's targets goes by, for the log. */
  view(service: string): ChoiceView {
    const {directory, suspensions, loads} = this.context;
    const targets = directory.ofService(service);
    const online = targets.map(({id}) => loads.at(targetKey(id)).online);
    return {
      targets: targets.length,
      suspended: targets.filter(({id}) => suspensions.has(id)).length,
      leastOnline: online.length > 0 ? Math.min(...online) : undefined,
    };
  }

  /**
   * How many batch items of this host must give way at a target.
   *
   * @param target - Where this host runs items.
   * @param host - This host's name in the loads.
   * @returns How many of its items have to end.
   */
  itemsToYield(target: Target, host: string): number {
    if (this.context.loads.ownAt(targetKey(target.id)).batch === 0) return 0;
    return this.itemsToYieldByHost(target, host).get(host) ?? 0;
  }

  /**
   * @param target - Where an online request was placed.
   * @param self - This host's name in the loads.
   * @returns How many items have to end there, by host of this data centre.
   */
  itemsToYieldByHost(
    target: Target,
    self: string,
  ): ReadonlyMap<string, number> {
    const key = targetKey(target.id);
    const {loads, dataCentre} = this.context;
    const {online, batch} = loads.at(key);
    const limit = Math.floor(target.slots * this.weights.batchYieldShare);
    const excess = online + batch - limit;
    if (excess <= 0) return new Map();
    const hosts = new Map(loads.hostsWithItems(key));
    const own = loads.ownAt(key);
    if (own.batch > 0) hosts.set(self, own);
    const dataCentres = loads.dataCentresWithItems(key);
    return sharesOfExcess(target.id, {dataCentre, hosts, dataCentres}, excess);
  }

  private best(
    targets: readonly Target[],
    lane: Lane,
    hasRoom: HasRoom,
  ): Target | undefined {
    let best: Target | undefined;
    let bestScore = Infinity;
    for (const target of targets) {
      const load = this.context.loads.at(targetKey(target.id));
      const score = this.score(target, lane, load);
      if (score >= bestScore || !hasRoom(target, load)) continue;
      best = target;
      bestScore = score;
    }
    return best;
  }

  private score(target: Target, lane: Lane, load: TargetLoad): number {
    const {dataCentre, random, health} = this.context;
    const {remotePenalty} = this.weights;
    const far = target.dataCentre === dataCentre ? 0 : remotePenalty[lane];
    // Half a request of chance keeps hosts that see the same loads from all
    // choosing the same target. One more request weighs the more, the smaller
    // the share that the target deserves.
    const inFlight = load.online + load.batch + 1 + random.float() / 2;
    return inFlight / health.share(target) + far;
  }
}
