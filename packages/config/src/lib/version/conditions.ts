/**
 * What the system says about a resource, from what is known of the fleet. Pure:
 * when a condition last changed is for others to remember.
 */
import type {Condition, Resource, ResourceKind} from '@oathead/core';
import {isUnreachable} from './fleet_view.js';
import type {FleetView} from './fleet_view.js';

/** A condition without the time of its last change. */
export type ConditionState = Omit<Condition, 'since'>;

type ConditionsOf = {
  readonly [K in ResourceKind]: (
    resource: Resource<K>,
    fleet: FleetView,
  ) => readonly ConditionState[];
};

const CONDITIONS: ConditionsOf = {
  models: (model, fleet) =>
    model.spec.type === 'model'
      ? modelConditions(model, fleet)
      : serviceConditions(model, fleet),
  versions: versionConditions,
  adapters: adapterConditions,
  targets: targetConditions,
  callers: () => [],
  limits: () => [],
};

/**
 * @param resource - A declared resource.
 * @param fleet - What is known of the fleet.
 * @returns Its conditions.
 */
export function conditionsOf<K extends ResourceKind>(
  resource: Resource<K>,
  fleet: FleetView,
): readonly ConditionState[] {
  return [
    inForce(resource, fleet),
    ...CONDITIONS[resource.kind](resource, fleet),
  ];
}

/** Whether every entry that is heard of serves by the resource as it is. */
function inForce(resource: Resource, fleet: FleetView): ConditionState {
  const {entries} = fleet;
  const behind = fleet.entriesBehind(resource.resourceVersion);
  const message = `${entries.length - behind.length} of ${entries.length} entries serve by it`;
  if (entries.length === 0) {
    return state('InForce', 'unknown', 'NoEntryHeard', message);
  }
  return behind.length === 0
    ? state('InForce', 'true', 'EveryEntry', message)
    : state('InForce', 'false', 'EntriesBehind', message);
}

function modelConditions(
  {name, spec}: Resource<'models'>,
  fleet: FleetView,
): readonly ConditionState[] {
  const {declared} = fleet.poolTargets(name);
  const ready = fleet.readyTargets(name, spec.version);
  const what = spec.version ? `version ${spec.version}` : 'a version';
  const message = `${ready.length} of ${declared.length} targets can serve ${what}`;
  return readiness(declared.length, ready.length, message);
}

function serviceConditions(
  {name}: Resource<'models'>,
  fleet: FleetView,
): readonly ConditionState[] {
  const {declared, live} = fleet.poolTargets(name);
  const message = `${live.length} of ${declared.length} targets answer`;
  return readiness(declared.length, live.length, message);
}

function readiness(
  declared: number,
  ready: number,
  message: string,
): readonly ConditionState[] {
  if (declared === 0) {
    const none = 'no target is declared for it';
    return [
      state('Ready', 'false', 'NoTargetDeclared', none),
      state('Degraded', 'false', 'NoTargetDeclared', none),
    ];
  }
  return [
    ready > 0
      ? state('Ready', 'true', 'TargetsReady', message)
      : state('Ready', 'false', 'NoTargetReady', message),
    ready < declared
      ? state('Degraded', 'true', 'TargetsMissing', message)
      : state('Degraded', 'false', 'TargetsReady', message),
  ];
}

function versionConditions(
  {name, spec}: Resource<'versions'>,
  fleet: FleetView,
): readonly ConditionState[] {
  const wanted =
    fleet.snapshot.get('models', spec.model)?.spec.version === name;
  const {live} = fleet.poolTargets(spec.model);
  const loaded = fleet
    .loadedVersions(spec.model)
    .filter(({served}) => served.version === name);
  const ready = loaded.filter(({served}) => served.state === 'ready');
  const failed = loaded.filter(({served}) => served.state === 'failed');
  const message = `ready at ${ready.length} of ${live.length} live targets`;
  const serving =
    wanted && ready.length > 0
      ? state('Serving', 'true', 'TakesTraffic', message)
      : state(
          'Serving',
          'false',
          wanted ? 'NotReadyYet' : 'NotChosen',
          message,
        );
  if (failed.length > 0) {
    const text = `could not be loaded at ${failed.length} targets, such as ${failed[0]!.target}`;
    return [serving, state('RollingOut', 'true', 'LoadFailed', text)];
  }
  return [
    serving,
    rollingOut(wanted, ready.length, loaded.length, live.length),
  ];
}

function rollingOut(
  wanted: boolean,
  ready: number,
  loaded: number,
  live: number,
): ConditionState {
  const message = `loaded at ${loaded} of ${live} live targets`;
  if (wanted && ready < live) {
    return state('RollingOut', 'true', 'Loading', message);
  }
  if (!wanted && loaded > 0) {
    return state('RollingOut', 'true', 'Unloading', message);
  }
  return state(
    'RollingOut',
    'false',
    wanted ? 'Complete' : 'NotLoaded',
    message,
  );
}

function adapterConditions(
  {name, spec}: Resource<'adapters'>,
  fleet: FleetView,
): readonly ConditionState[] {
  const {live} = fleet.poolTargets(spec.model);
  const ready = fleet
    .loadedVersions(spec.model)
    .filter(
      ({served}) => served.state === 'ready' && served.adapters.includes(name),
    );
  const message = `loaded at ${ready.length} of ${live.length} live targets`;
  return [
    ready.length > 0
      ? state('Ready', 'true', 'Loaded', message)
      : state('Ready', 'false', 'NotLoaded', message),
  ];
}

function targetConditions(
  {name, spec}: Resource<'targets'>,
  fleet: FleetView,
): readonly ConditionState[] {
  const fact = fleet.targets.get(name);
  if (!fact) {
    const message = 'no entry asked here has heard of it';
    return ['Configured', 'Leaving', 'Unreachable', 'EngineDown'].map(type =>
      state(type, 'unknown', 'NeverHeard', message),
    );
  }
  const {report} = fact;
  const heard = `last heard ${Math.round(fact.ageMs / 1_000)} s ago`;
  const {revision} = fleet.snapshot;
  const at = `at revision ${report.cfgRevision} of ${revision}`;
  return [
    report.cfgRevision >= revision
      ? state('Configured', 'true', 'Current', at)
      : state('Configured', 'false', 'Behind', at),
    leaving(spec.leaving, report),
    isUnreachable(fact)
      ? state('Unreachable', 'true', fact.lost ? 'Lost' : 'Silent', heard)
      : state('Unreachable', 'false', 'Heard', ''),
    report.engineDown
      ? state('EngineDown', 'true', 'NoAnswer', 'the engine does not answer')
      : state('EngineDown', 'false', 'Answers', ''),
  ];
}

function leaving(
  declaredOut: boolean,
  report: {
    readonly leaving: boolean;
    readonly onlineRunning: number;
    readonly onlineQueued: number;
    readonly batchRunning: number;
    readonly batchQueued: number;
  },
): ConditionState {
  if (!declaredOut && !report.leaving) {
    return state('Leaving', 'false', 'Serving', '');
  }
  if (!report.leaving) {
    const message = 'the target has not said yet that it takes nothing new';
    return state('Leaving', 'true', 'NotToldYet', message);
  }
  const online = report.onlineRunning + report.onlineQueued;
  const batch = report.batchRunning + report.batchQueued;
  if (online + batch === 0) {
    return state('Leaving', 'true', 'Empty', 'nothing is left in flight');
  }
  const message = `${online} online and ${batch} batch requests in flight`;
  return state('Leaving', 'true', 'Finishing', message);
}

function state(
  type: string,
  status: Condition['status'],
  reason: string,
  message: string,
): ConditionState {
  return {type, status, reason, message};
}
