/**
 * What is to be ordered next in a rollout: pure, from the state of each
 * target's way and from what the fleet reports.
 */
import type {
  ConfigSnapshot,
  OrderAction,
  Resource,
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
  const declared = adaptersOf(model, fleet.snapshot);
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
  let pending = settings.maxPending - steps.filter(isPending).length;
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

function isPending({state}: RolloutStep): boolean {
  return state.endsWith('Ordered');
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

function adaptersOf(
  model: string,
  snapshot: ConfigSnapshot,
): readonly string[] {
  return snapshot
    .all('adapters')
    .filter(({spec}) => spec.model === model)
    .map(({name}) => name);
}

function servedVersion(
  {target, model, wanted}: RolloutStep,
  fleet: FleetView,
): ServedVersion | undefined {
  return fleet.served(target, model).find(({version}) => version === wanted);
}
