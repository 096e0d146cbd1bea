/** Which target gets the next request: the least loaded, near ones first. */
import type {Random} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {Lane, LoadTable} from './load_table.js';
import type {TargetDirectory} from './target_directory.js';
import type {TargetSuspensions} from './target_suspensions.js';

/** How targets are compared, all in requests in flight. */
export interface ChoiceWeights {
  /** How much less loaded a target in another data centre must be: bytes
   * between data centres are dear. */
  readonly remotePenalty: Readonly<Record<Lane, number>>;
  /** Online requests beyond a target's slots, as a share of them: a stream
   * takes under a second, so a slot gets free within its objective. */
  readonly queueShare: number;
  /** Up to which share of its slots a target is filled with batch items: the
   * rest is free for the first requests of a burst. */
  readonly batchStartShare: number;
  /** From which share of its slots on batch items give way. */
  readonly batchYieldShare: number;
}

/** Five of eight slots are filled with items, which give way at seven. */
export const DEFAULT_CHOICE_WEIGHTS: ChoiceWeights = {
  remotePenalty: {online: 1.5, batch: 3},
  queueShare: 0.5,
  batchStartShare: 0.625,
  batchYieldShare: 0.875,
};

/** What a {@link TargetChooser} needs. */
export interface TargetChooserContext {
  readonly dataCentre: string;
  readonly directory: TargetDirectory;
  readonly suspensions: TargetSuspensions;
  readonly loads: LoadTable;
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
   * @param lane - What it is for.
   * @param tried - Targets that had their try.
   * @returns The target with the lowest score; undefined: none has room.
   */
  choose(
    service: string,
    lane: Lane,
    tried: ReadonlySet<string>,
  ): Target | undefined {
    const {directory, suspensions} = this.context;
    const open = directory
      .ofService(service)
      .filter(({id}) => !tried.has(id) && !suspensions.has(id));
    let best: Target | undefined;
    let bestScore = Infinity;
    for (const target of open) {
      const score = this.score(target, lane);
      if (score >= bestScore) continue;
      best = target;
      bestScore = score;
    }
    return best;
  }

  /** @returns Whether any target of a service exists, full or not. */
  hasTargets(service: string): boolean {
    return this.context.directory.ofService(service).length > 0;
  }

  /**
   * How many batch items of this host must give way at a target. Every host
   * comes to the same order of hosts from the same loads, so that together they
   * end as many items as are too many and not each of them all.
   *
   * @param target - Where this host runs items.
   * @param host - This host's name in the loads.
   * @returns How many of its items have to end.
   */
  itemsToYield(target: Target, host: string): number {
    const key = targetKey(target.id);
    const {loads} = this.context;
    const own = loads.ownAt(key).batch;
    if (own === 0) return 0;
    const {online, batch} = loads.at(key);
    const limit = Math.floor(target.slots * this.weights.batchYieldShare);
    let excess = online + batch - limit;
    const counts = new Map(loads.batchOfOthers(key)).set(host, own);
    for (const name of [...counts.keys()].sort()) {
      if (excess <= 0) return 0;
      if (name === host) return Math.min(own, excess);
      excess -= counts.get(name)!;
    }
    return 0;
  }

  private score(target: Target, lane: Lane): number {
    const {loads, dataCentre, random} = this.context;
    const load = loads.at(targetKey(target.id));
    if (!this.hasRoom(target, lane, load)) return Infinity;
    const {remotePenalty} = this.weights;
    const far = target.dataCentre === dataCentre ? 0 : remotePenalty[lane];
    // Half a request of chance keeps hosts that see the same loads from all
    // choosing the same target.
    return load.online + load.batch + far + random.float() / 2;
  }

  private hasRoom(
    target: Target,
    lane: Lane,
    load: {readonly online: number; readonly batch: number},
  ): boolean {
    const {queueShare, batchStartShare} = this.weights;
    if (lane === 'online')
      return load.online < target.slots * (1 + queueShare);
    return load.online + load.batch < target.slots * batchStartShare;
  }
}
