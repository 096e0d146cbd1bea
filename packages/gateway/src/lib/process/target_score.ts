/**
 * Scores targets for a request or item; the one with the lowest score is
 * chosen.
 *
 * Targets are compared by their requests in flight. Where targets of a service
 * differ in speed, a request in flight weighs more at a slow one.
 */
import {loadBand, NEARLY_FULL, type Random, type Slowness} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {Lane, LoadTable, TargetLoad} from './load_table.js';
import type {ServiceHealth} from './service_health.js';
import type {ServiceOverload} from './service_overload.js';

/** Whether batch items can wait for a time of low load or are urgent. */
export type BatchPressure = 'relaxed' | 'pressed';

/** What a target is chosen for. */
export type ChoicePurpose =
  | {readonly lane: 'online'}
  | {readonly lane: 'batch'; readonly pressure: BatchPressure};

/** Penalties of targets in other data centres. */
export interface RemotePenalties {
  /**
   * How much less loaded a target in another data centre must be to be
   * preferred over a local one, as a number of requests in flight: traffic
   * between data centres is expensive.
   */
  readonly remotePenalty: Readonly<Record<Lane, number>>;
}

/** Dependencies of {@link TargetScore}. */
export interface TargetScoreContext {
  readonly dataCentre: string;
  readonly health: ServiceHealth;
  readonly overload: ServiceOverload;
  readonly random: Random;
}

/**
 * Exponent with which slowness weighs in the choice for an online request: it
 * decides between targets with nearly as many requests. With 1, fast targets
 * would be filled to their last slot before slow ones are half full, and a
 * request that another host has sent meanwhile would make the next one wait.
 */
const SPEED_EXPONENT = 0.15;
/**
 * Slowness beyond which a target is no longer merely one of the slower ones.
 * Items that can wait would not be in time there: an item is urgent when less
 * than twice its usual time is left.
 */
const MAX_USUAL_SLOWNESS = 2;
/**
 * Exponent for what exceeds that, as for targets that lose their traffic share
 * for being slow.
 */
const EXCESS_EXPONENT = 2;

type Weigher = (target: Target, load: TargetLoad) => number;

/** Scores one target; the score of the best one is the lowest. */
export type Scorer = (target: Target, load: TargetLoad) => number;

/** Scores the targets of all services. */
export class TargetScore {
  /**
   * @param context - Health, latencies and speeds of the targets.
   * @param penalties - Penalties of targets in other data centres.
   */
  constructor(
    private readonly context: TargetScoreContext,
    private readonly penalties: RemotePenalties,
  ) {}

  /**
   * @param service - Service of the targets.
   * @param purpose - What one of them is chosen for.
   * @returns Scores them by their requests in flight, weighted by their speeds.
   */
  scorer(service: string, purpose: ChoicePurpose): Scorer {
    const isUnlike = this.context.overload.speeds.unlike(service).size > 0;
    const weightOf = isUnlike ? this.weigher(purpose) : () => 1;
    return (target, load) => this.score(target, load, purpose.lane, weightOf);
  }

  /** What a request in flight weighs at targets of unlike speed. */
  private weigher(purpose: ChoicePurpose): Weigher {
    const {speeds} = this.context.overload;
    if (purpose.lane === 'online')
      return (target, {online, batch}) =>
        requestWeight(speeds.slownessAt(target, online + batch + 1));
    return target => itemWeight(speeds.slownessOf(target), purpose.pressure);
  }

  private score(
    target: Target,
    load: TargetLoad,
    lane: Lane,
    weightOf: Weigher,
  ): number {
    const {dataCentre, random, health} = this.context;
    const isRemote = target.dataCentre !== dataCentre;
    const penalty = isRemote ? this.penalties.remotePenalty[lane] : 0;
    // A random term of up to half a request keeps hosts that see the same loads
    // from all choosing the same target. One more request weighs more the
    // smaller the target's share is.
    const inFlight = load.online + load.batch + 1 + random.float() / 2;
    const weighted = inFlight * weightOf(target, load);
    return weighted / health.trafficShare(target) + penalty;
  }
}

/** Whether a target takes one more request or item. */
export type HasCapacity = (target: Target, load: TargetLoad) => boolean;

/** How targets are compared. */
export interface Comparison {
  readonly loads: Pick<LoadTable, 'totalAt'>;
  readonly scoreOf: Scorer;
  readonly hasCapacity: HasCapacity;
}

/**
 * @param targets - Targets to choose from.
 * @param comparison - How they are compared.
 * @returns The one with the lowest score; undefined if none has free capacity.
 */
export function lowestScored(
  targets: readonly Target[],
  {loads, scoreOf, hasCapacity}: Comparison,
): Target | undefined {
  let best: Target | undefined;
  let bestScore = Infinity;
  for (const target of targets) {
    const load = loads.totalAt(targetKey(target.id));
    const score = scoreOf(target, load);
    if (score >= bestScore || !hasCapacity(target, load)) continue;
    best = target;
    bestScore = score;
  }
  return best;
}

/**
 * @param target - A target.
 * @param load - Requests in flight there.
 * @param slowness - Its slowness.
 * @returns Whether one more item would make it slow because it is nearly full.
 */
export function slowsWhenNearlyFull(
  {slots}: Target,
  {online, batch}: TargetLoad,
  slowness: Slowness,
): boolean {
  return (
    slowness.nearlyFull > slowness.regular &&
    loadBand(online + batch + 1, slots) === NEARLY_FULL
  );
}

function requestWeight(slowness: number): number {
  const usual = Math.min(slowness, MAX_USUAL_SLOWNESS);
  return usual ** SPEED_EXPONENT * (slowness / usual) ** EXCESS_EXPONENT;
}

/**
 * Items that can wait are spread by their number only. Urgent ones prefer fast
 * targets, and all avoid those that are much slower.
 */
function itemWeight({regular}: Slowness, pressure: BatchPressure): number {
  return pressure === 'relaxed' && regular <= MAX_USUAL_SLOWNESS ? 1 : regular;
}
