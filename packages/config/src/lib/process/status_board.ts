/** Collects what is in force where, and says so as conditions. */
import {RESOURCE_KINDS} from '@oathead/core';
import type {
  Clock,
  Condition,
  ConfigView,
  LoadReport,
  Resource,
  ResourceKind,
} from '@oathead/core';
import {resourceId} from '../version/change.js';
import {conditionsOf} from '../version/conditions.js';
import type {ConditionState} from '../version/conditions.js';
import {FleetView, isUnreachable} from '../version/fleet_view.js';
import type {EntryFact, TargetFact} from '../version/fleet_view.js';
import type {
  JobAtRisk,
  ResourceStatus,
  StatusReport,
} from '../version/status_report.js';
import {entrySpread, targetSpread} from '../version/spread.js';
import {RefusalWindow} from './refusal_window.js';

const MAX_TROUBLED = 20;
const REFRESHED_AT_ONCE = 200;

/** Kinds whose conditions change by themselves; the others' are few. */
const FOLLOWED_KINDS: readonly ResourceKind[] = [
  'models',
  'versions',
  'adapters',
  'targets',
];

interface HeardTarget {
  readonly report: LoadReport;
  readonly heardAt: number;
  readonly lost: boolean;
}

/** What entries tell each other about targets, so that each can tell of all. */
export interface BoardFacts {
  readonly targets: readonly (TargetFact & {readonly name: string})[];
  readonly entries: readonly EntryFact[];
}

/**
 * Collects what targets and entries say about themselves. Ages, not times, are
 * exchanged, so the clocks of hosts need not agree.
 */
export class StatusBoard {
  private readonly targets = new Map<string, HeardTarget>();
  private readonly entries = new Map<
    string,
    {readonly revision: number; readonly heardAt: number}
  >();
  /** Conditions as they were last, by resource. */
  private readonly remembered = new Map<string, readonly Condition[]>();
  private toRefresh: readonly Resource[] = [];
  private readonly refused: RefusalWindow;

  /**
   * @param clock - Tells how old what was heard is.
   * @param config - The configuration.
   */
  constructor(
    private readonly clock: Clock,
    private readonly config: ConfigView,
  ) {
    this.refused = new RefusalWindow(clock);
  }

  /**
   * @param name - A declared target.
   * @param report - What it says about itself.
   */
  heardTarget(name: string, report: LoadReport): void {
    this.targets.set(name, {report, heardAt: this.clock.now(), lost: false});
  }

  /** @param name - A target to which every connection is lost. */
  lostTarget(name: string): void {
    const heard = this.targets.get(name);
    if (heard) this.targets.set(name, {...heard, lost: true});
  }

  /**
   * @param entryId - An entry, this one included.
   * @param revision - The revision that it serves by.
   */
  heardEntry(entryId: string, revision: number): void {
    this.entries.set(entryId, {revision, heardAt: this.clock.now()});
  }

  /** @param entryId - An entry whose lease has ended. */
  forgetEntry(entryId: string): void {
    this.entries.delete(entryId);
  }

  /**
   * @param kind - Kind of a refusal that a caller got.
   * @param pool - The declared model or service that was asked for, if any.
   */
  countRefusal(kind: string, pool?: string): void {
    this.refused.count(kind, pool);
  }

  /** @returns What this board knows, for the boards of other entries. */
  facts(): BoardFacts {
    const targets = [...this.targetFacts()].map(([name, fact]) => ({
      name,
      ...fact,
    }));
    return {targets, entries: this.entryFacts()};
  }

  /**
   * Takes in what another board knows; of each target and entry the latest
   * word stands.
   *
   * @param facts - What the other board told just now.
   */
  merge(facts: BoardFacts): void {
    const now = this.clock.now();
    for (const {name, report, ageMs, lost} of facts.targets) {
      const heardAt = now - ageMs;
      const known = this.targets.get(name);
      if (known && known.heardAt >= heardAt) continue;
      this.targets.set(name, {report, heardAt, lost});
    }
    for (const {entryId, revision, ageMs} of facts.entries) {
      const heardAt = now - ageMs;
      const known = this.entries.get(entryId);
      if (known && known.heardAt >= heardAt) continue;
      this.entries.set(entryId, {revision, heardAt});
    }
  }

  /** @returns What is known of the fleet now. */
  fleet(): FleetView {
    const snapshot = this.config.current();
    return new FleetView(snapshot, this.targetFacts(), this.entryFacts());
  }

  /**
   * Notices what has changed, so that `since` is right. To be called about once
   * a second, whether or not anyone asks. Each call looks at a part of the
   * resources, so that thousands of targets do not hold up the process.
   */
  refresh(): void {
    const fleet = this.fleet();
    for (const name of this.targets.keys()) {
      if (!fleet.snapshot.get('targets', name)) this.targets.delete(name);
    }
    if (this.toRefresh.length === 0) {
      this.toRefresh = FOLLOWED_KINDS.flatMap(kind => fleet.snapshot.all(kind));
      this.forgetDeleted();
    }
    const part = this.toRefresh.slice(0, REFRESHED_AT_ONCE);
    this.toRefresh = this.toRefresh.slice(REFRESHED_AT_ONCE);
    for (const {kind, name} of part) {
      const resource = fleet.snapshot.get(kind, name);
      if (!resource) continue;
      this.remembered.set(resourceId(resource), this.dated(resource, fleet));
    }
  }

  /**
   * @param resource - A declared resource.
   * @param fleet - What is known of the fleet; as of now without it.
   * @returns Its conditions, each with the time of its last change.
   */
  conditions(resource: Resource, fleet = this.fleet()): readonly Condition[] {
    return this.dated(resource, fleet);
  }

  /**
   * @param jobsAtRisk - Jobs that may miss their deadline.
   * @returns What `status` answers.
   */
  report(jobsAtRisk: readonly JobAtRisk[] = []): StatusReport {
    const fleet = this.fleet();
    const {snapshot} = fleet;
    const declared = RESOURCE_KINDS.map(kind => [
      kind,
      snapshot.all(kind).length,
    ]);
    const targets = snapshot.all('targets');
    return {
      revision: snapshot.revision,
      declared: Object.fromEntries(declared) as StatusReport['declared'],
      inForce: {
        entries: entrySpread(fleet),
        targets: targetSpread(fleet),
      },
      models: this.statuses(snapshot.all('models'), fleet),
      leaving: targets.filter(t => isLeaving(t, fleet)).map(t => t.name),
      rollouts: this.statuses(snapshot.all('versions'), fleet).filter(
        isRollingOut,
      ),
      troubled: this.statuses(
        targets.filter(t => isTroubled(t, fleet)).slice(0, MAX_TROUBLED),
        fleet,
      ),
      refusals: this.refused.recent(),
      jobsAtRisk,
    };
  }

  private statuses(
    resources: readonly Resource[],
    fleet: FleetView,
  ): readonly ResourceStatus[] {
    return resources.map(resource => ({
      kind: resource.kind,
      name: resource.name,
      conditions: this.dated(resource, fleet),
    }));
  }

  private forgetDeleted(): void {
    const declared = new Set(this.toRefresh.map(resourceId));
    for (const id of this.remembered.keys()) {
      if (!declared.has(id)) this.remembered.delete(id);
    }
  }

  /** A condition changes with its status or reason; its message may vary. */
  private dated(resource: Resource, fleet: FleetView): readonly Condition[] {
    const before = this.remembered.get(resourceId(resource)) ?? [];
    const now = this.clock.wallTime();
    const date = (state: ConditionState): Condition => {
      const same = before.find(
        ({type, status, reason}) =>
          type === state.type &&
          status === state.status &&
          reason === state.reason,
      );
      return {...state, since: same?.since ?? now};
    };
    return conditionsOf(resource, fleet).map(date);
  }

  private targetFacts(): ReadonlyMap<string, TargetFact> {
    const now = this.clock.now();
    return new Map(
      [...this.targets].map(([name, {report, heardAt, lost}]) => [
        name,
        {report, ageMs: now - heardAt, lost},
      ]),
    );
  }

  private entryFacts(): readonly EntryFact[] {
    const now = this.clock.now();
    return [...this.entries].map(([entryId, {revision, heardAt}]) => ({
      entryId,
      revision,
      ageMs: now - heardAt,
    }));
  }
}

function isLeaving(
  {name, spec}: Resource<'targets'>,
  fleet: FleetView,
): boolean {
  return spec.leaving || fleet.targets.get(name)?.report.leaving === true;
}

function isTroubled({name}: Resource, fleet: FleetView): boolean {
  const fact = fleet.targets.get(name);
  return fact !== undefined && (isUnreachable(fact) || fact.report.engineDown);
}

function isRollingOut({conditions}: ResourceStatus): boolean {
  return conditions.some(
    ({type, status}) => type === 'RollingOut' && status === 'true',
  );
}
