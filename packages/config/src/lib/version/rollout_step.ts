/** One model at one target on its way to a version, as far as it is known. */
import {
  INITIAL_ROLLOUT_STATE,
  isOrderPending,
  nextRolloutState,
} from '@oathead/core';
import type {
  OrderAction,
  RolloutEvent,
  RolloutState,
  ServedVersion,
  WantedState,
} from '@oathead/core';
import type {FleetView} from './fleet_view.js';

/** One model at one target, on its way to a version. */
export interface RolloutStep {
  readonly model: string;
  readonly target: string;
  readonly wanted: string;
  readonly state: RolloutState;
  /** When the state was entered, on the leader's clock, in milliseconds. */
  readonly since: number;
  /** When the outcome of the last order was known. */
  readonly orderedAt: number;
  /** The last order reads from the weight store and may not have ended. */
  readonly reading: boolean;
}

/** Bounds and delays of rollouts; times in milliseconds. */
export interface RolloutSettings {
  /** A report shows what an order did after so long, engine's lag included. */
  readonly reportLagMs: number;
  /** The wanted version is ready for so long before an old one is unloaded. */
  readonly settleMs: number;
  /** After a refused order. */
  readonly holdMs: number;
  /** After a failed load, before it is tried anew. */
  readonly failedRetryMs: number;
  /** A version that fails at so many targets, and at more than it is ready at, is loaded at no further one. */
  readonly maxFailed: number;
  /** Orders whose outcome is awaited at once. */
  readonly maxPending: number;
  /** A target that is silent for so long reads from the weight store no more. */
  readonly forgetReadMs: number;
}

/** Defaults that suit loads of minutes and reports of a second. */
export const ROLLOUT_DEFAULTS: RolloutSettings = {
  reportLagMs: 5_000,
  settleMs: 3_000,
  holdMs: 5_000,
  failedRetryMs: 60_000,
  maxFailed: 3,
  maxPending: 32,
  forgetReadMs: 60_000,
};

/** An order that a step asks for. */
export interface OrderWish {
  readonly action: OrderAction;
  /** It reads from the weight store. */
  readonly reads: boolean;
}

/** What decides about wishes at one moment. */
export interface RolloutFacts {
  readonly fleet: FleetView;
  readonly settings: RolloutSettings;
  /** Milliseconds on the leader's clock. */
  readonly now: number;
}

/**
 * @param step - A step.
 * @param facts - What is known now.
 * @returns Whether the last report of the target was made after the effect of
 *     the last order.
 */
export function isFresh(step: RolloutStep, facts: RolloutFacts): boolean {
  const fact = facts.fleet.targets.get(step.target);
  if (!fact) return false;
  const heardAt = facts.now - fact.ageMs;
  return heardAt >= step.orderedAt + facts.settings.reportLagMs;
}

/**
 * @param step - A step.
 * @param fleet - What is known of the fleet.
 * @returns The wanted version, as its target reports it.
 */
export function wantedState(step: RolloutStep, fleet: FleetView): WantedState {
  const state = servedVersion(step, fleet)?.state;
  return state === undefined || state === 'unloading' ? 'absent' : state;
}

/**
 * @param step - A step whose wanted version is ready.
 * @param fleet - What is known of the fleet.
 * @returns What is still to be changed, most urgent first: adapters that
 *     requests may need come before the old version goes.
 */
export function changesLeft(
  step: RolloutStep,
  fleet: FleetView,
): readonly OrderWish[] {
  const {model, target, wanted} = step;
  const declared = fleet.adaptersOf(model);
  const loaded = servedVersion(step, fleet)?.adapters ?? [];
  const missing = declared.filter(adapter => !loaded.includes(adapter));
  const extra = loaded.filter(adapter => !declared.includes(adapter));
  const others = fleet
    .served(target, model)
    .filter(({version, state}) => version !== wanted && state !== 'unloading');
  return [
    ...missing.map(adapter => ({
      action: {kind: 'load-adapter', model, adapter} as const,
      reads: true,
    })),
    ...others.map(({version}) => ({
      action: {kind: 'unload-version', model, version} as const,
      reads: false,
    })),
    ...extra.map(adapter => ({
      action: {kind: 'unload-adapter', model, adapter} as const,
      reads: false,
    })),
  ];
}

/**
 * @param model - A model.
 * @param target - A target that is to serve it.
 * @param now - Milliseconds on the leader's clock.
 * @returns Where every way begins.
 */
export function newStep(
  model: string,
  target: string,
  now: number,
): RolloutStep {
  return {
    model,
    target,
    wanted: '',
    state: INITIAL_ROLLOUT_STATE,
    since: now,
    orderedAt: -Infinity,
    reading: false,
  };
}

/**
 * @param step - A step.
 * @param event - What happens.
 * @param now - Milliseconds on the leader's clock.
 * @returns The step after it.
 */
export function moveStep(
  step: RolloutStep,
  event: RolloutEvent,
  now: number,
): RolloutStep {
  const state = nextRolloutState(step.state, event);
  return state === step.state ? step : {...step, state, since: now};
}

/**
 * Brings a step up to what is declared and reported. Nothing moves while the
 * outcome of an order is awaited.
 *
 * @param before - A step.
 * @param wanted - The version that is declared to take the traffic.
 * @param facts - What is known now.
 * @returns The step as it is now.
 */
export function observeStep(
  before: RolloutStep,
  wanted: string,
  facts: RolloutFacts,
): RolloutStep {
  if (isOrderPending(before.state)) return before;
  const {fleet, now, settings} = facts;
  let step = before;
  if (step.wanted !== wanted) {
    step = {...moveStep(step, {type: 'restart'}, now), wanted};
  }
  if (!fleet.isLive(step.target)) {
    return moveStep({...step, reading: false}, {type: 'restart'}, now);
  }
  if (step.state === 'held' && now - step.since >= settings.holdMs) {
    step = moveStep(step, {type: 'expired'}, now);
  }
  if (!isFresh(step, facts)) return step;
  const state = wantedState(step, fleet);
  const unfinished = changesLeft(step, fleet).length > 0;
  step = moveStep(step, {type: 'observed', wanted: state, unfinished}, now);
  return {...step, reading: step.reading && state === 'loading'};
}

function servedVersion(
  {target, model, wanted}: RolloutStep,
  fleet: FleetView,
): ServedVersion | undefined {
  return fleet.served(target, model).find(({version}) => version === wanted);
}
