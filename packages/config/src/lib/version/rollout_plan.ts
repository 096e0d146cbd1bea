/**
 * What is to be ordered next in a rollout: pure, from the state of each
 * target's way and from what the fleet reports.
 */
import {isOrderPending} from '@oathead/core';
import type {ConfigSnapshot, Resource, RolloutState} from '@oathead/core';
import {changesLeft, isFresh, wantedState} from './rollout_step.js';
import type {
  OrderWish,
  RolloutFacts,
  RolloutSettings,
  RolloutStep,
} from './rollout_step.js';

type WishOf = (step: RolloutStep, facts: RolloutFacts) => OrderWish | undefined;

const WISHES: Readonly<Partial<Record<RolloutState, WishOf>>> = {
  wanting: (step, {fleet}) => ({
    action: {kind: 'load-version', model: step.model, version: step.wanted},
    reads: wantedState(step, fleet) !== 'ready',
  }),
  ready: changeWish,
  failed: (step, {now, settings}) =>
    now - step.since < settings.failedRetryMs
      ? undefined
      : {
          action: {
            kind: 'unload-version',
            model: step.model,
            version: step.wanted,
          },
          reads: false,
        },
};

/**
 * Guards against a moment without a server: what is ready now is unloaded only
 * where the wanted version has been ready for a while, by a report that is
 * newer than any order, and the target itself knows by its configuration that
 * the wanted version takes the traffic.
 */
function changeWish(
  step: RolloutStep,
  {fleet, settings, now}: RolloutFacts,
): OrderWish | undefined {
  const [wish] = changesLeft(step, fleet);
  if (!wish || wish.action.kind !== 'unload-version') return wish;
  const model = fleet.snapshot.get('models', step.model);
  const told = fleet.targets.get(step.target)!.report.cfgRevision;
  const isTold = model !== undefined && told >= model.resourceVersion;
  const isSettled = now - step.since >= settings.settleMs;
  return isTold && isSettled ? wish : undefined;
}

/**
 * @param step - A step.
 * @param facts - What is known now.
 * @returns The order that it asks for now, if any.
 */
export function wishOf(
  step: RolloutStep,
  facts: RolloutFacts,
): OrderWish | undefined {
  if (!facts.fleet.isLive(step.target) || !isFresh(step, facts)) {
    return undefined;
  }
  return WISHES[step.state]?.(step, facts);
}

/**
 * Chooses the orders of this moment within the reads that the weight store
 * bears over the whole fleet. Models with the fewest ready targets come first.
 *
 * @param steps - All steps.
 * @param facts - What is known now.
 * @param concurrentReads - What the weight store bears.
 * @returns Steps with the orders to send for them.
 */
export function chooseOrders(
  steps: readonly RolloutStep[],
  facts: RolloutFacts,
  concurrentReads: number,
): readonly (readonly [RolloutStep, OrderWish])[] {
  const {fleet, settings} = facts;
  let reads = concurrentReads - readsNow(steps, facts);
  let pending =
    settings.maxPending -
    steps.filter(({state}) => isOrderPending(state)).length;
  const stopped = failingModels(steps, settings);
  const ready = new Map<string, number>();
  for (const {model, wanted} of steps) {
    if (ready.has(model)) continue;
    ready.set(model, fleet.readyTargets(model, wanted).length);
  }
  const ordered = [...steps].sort(
    (a, b) => ready.get(a.model)! - ready.get(b.model)!,
  );
  const chosen: (readonly [RolloutStep, OrderWish])[] = [];
  for (const step of ordered) {
    const wish = wishOf(step, facts);
    if (!wish || pending <= 0) continue;
    if (wish.reads && (reads <= 0 || stopped.has(step.model))) continue;
    if (wish.reads) reads--;
    pending--;
    chosen.push([step, wish]);
  }
  return chosen;
}

/** Reads that are reported, and those that no report can show yet. */
function readsNow(
  steps: readonly RolloutStep[],
  {fleet, settings}: RolloutFacts,
): number {
  const reading = new Set(
    steps.filter(step => step.reading).map(({target}) => target),
  );
  for (const [target, {report, ageMs}] of fleet.targets) {
    if (ageMs > settings.forgetReadMs) continue;
    if (report.versions.some(({state}) => state === 'loading')) {
      reading.add(target);
    }
  }
  return reading.size;
}

/** Models whose wanted version seems to be broken. */
function failingModels(
  steps: readonly RolloutStep[],
  {maxFailed}: RolloutSettings,
): ReadonlySet<string> {
  const failing = new Set<string>();
  for (const model of new Set(steps.map(step => step.model))) {
    const states = steps.filter(s => s.model === model).map(s => s.state);
    const failed = states.filter(state => state === 'failed').length;
    const fine = states.filter(s => s === 'ready' || s === 'complete').length;
    if (failed >= maxFailed && failed > fine) failing.add(model);
  }
  return failing;
}

/**
 * @param snapshot - The configuration.
 * @returns Models that have a version to be rolled out.
 */
export function modelsToRollOut(
  snapshot: ConfigSnapshot,
): readonly Resource<'models'>[] {
  return snapshot
    .all('models')
    .filter(({spec}) => spec.type === 'model' && spec.version !== undefined);
}
