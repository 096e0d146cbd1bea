/** What is known of the fleet at one moment, indexed for the questions of status. */
import type {ConfigSnapshot, LoadReport, ServedVersion} from '@oathead/core';

/** What was last heard of a target. */
export interface TargetFact {
  readonly report: LoadReport;
  /** How long ago, in milliseconds. */
  readonly ageMs: number;
  /** Its connections are lost, whatever it said last. */
  readonly lost: boolean;
}

/** What was last heard of an entry. */
export interface EntryFact {
  readonly entryId: string;
  /** The revision that it serves by. */
  readonly revision: number;
  readonly ageMs: number;
}

/** A target counts as unreachable after so long a silence. */
export const UNREACHABLE_MS = 5_000;

/** Targets of one model or service. */
export interface PoolTargets {
  /** Declared, and not declared out. */
  readonly declared: readonly string[];
  /** Of these, those that are heard of and work. */
  readonly live: readonly string[];
}

/** A version of a model at a live target. */
export interface LoadedVersion {
  readonly target: string;
  readonly served: ServedVersion;
}

const NO_TARGETS: PoolTargets = {declared: [], live: []};

/** The fleet as of one moment. */
export class FleetView {
  private readonly pools = new Map<
    string,
    {declared: string[]; live: string[]}
  >();
  private readonly loaded = new Map<string, readonly LoadedVersion[]>();
  private readonly oldestEntry: number;
  private adapters: ReadonlyMap<string, readonly string[]> | undefined;

  /**
   * @param snapshot - The configuration.
   * @param targets - What was heard of targets, by name.
   * @param entries - What was heard of entries.
   */
  constructor(
    readonly snapshot: ConfigSnapshot,
    readonly targets: ReadonlyMap<string, TargetFact>,
    readonly entries: readonly EntryFact[],
  ) {
    this.oldestEntry = Math.min(...entries.map(({revision}) => revision));
    for (const {name, spec} of snapshot.all('targets')) {
      if (spec.leaving) continue;
      for (const pool of spec.pools) this.addTarget(pool, name);
    }
  }

  /**
   * @param pool - A model or service.
   * @returns Its targets.
   */
  poolTargets(pool: string): PoolTargets {
    return this.pools.get(pool) ?? NO_TARGETS;
  }

  /**
   * @param name - A target.
   * @returns Whether it is heard of and takes new work.
   */
  isLive(name: string): boolean {
    const fact = this.targets.get(name);
    if (!fact || isUnreachable(fact)) return false;
    return !fact.report.leaving && !fact.report.engineDown;
  }

  /**
   * @param name - A target.
   * @param pool - A model or service.
   * @returns What it says it has loaded of it.
   */
  served(name: string, pool: string): readonly ServedVersion[] {
    const versions = this.targets.get(name)?.report.versions ?? [];
    return versions.filter(version => version.pool === pool);
  }

  /**
   * @param pool - A model.
   * @returns Every version of it at every live target, ready or not.
   */
  loadedVersions(pool: string): readonly LoadedVersion[] {
    const known = this.loaded.get(pool);
    if (known) return known;
    const loaded = this.poolTargets(pool).live.flatMap(target =>
      this.served(target, pool).map(served => ({target, served})),
    );
    this.loaded.set(pool, loaded);
    return loaded;
  }

  /**
   * @param pool - A model.
   * @param version - One of its versions; undefined for any.
   * @returns The live targets that can serve it now.
   */
  readyTargets(pool: string, version?: string): readonly string[] {
    const ready = this.loadedVersions(pool).filter(
      ({served}) =>
        served.state === 'ready' &&
        (version === undefined || served.version === version),
    );
    return [...new Set(ready.map(({target}) => target))];
  }

  /**
   * @param model - A model.
   * @returns The names of its declared adapters.
   */
  adaptersOf(model: string): readonly string[] {
    this.adapters ??= adaptersByModel(this.snapshot);
    return this.adapters.get(model) ?? [];
  }

  /**
   * @param revision - A revision.
   * @returns The entries that are heard of and serve by an older one.
   */
  entriesBehind(revision: number): readonly EntryFact[] {
    if (this.oldestEntry >= revision) return [];
    return this.entries.filter(entry => entry.revision < revision);
  }

  private addTarget(pool: string, name: string): void {
    const targets = this.pools.get(pool) ?? {declared: [], live: []};
    targets.declared.push(name);
    if (this.isLive(name)) targets.live.push(name);
    this.pools.set(pool, targets);
  }
}

/**
 * @param fact - What was last heard of a target.
 * @returns Whether that is too long ago, or its connections are lost.
 */
export function isUnreachable(fact: TargetFact): boolean {
  return fact.lost || fact.ageMs > UNREACHABLE_MS;
}

function adaptersByModel(
  snapshot: ConfigSnapshot,
): ReadonlyMap<string, readonly string[]> {
  const byModel = new Map<string, string[]>();
  for (const {name, spec} of snapshot.all('adapters')) {
    const names = byModel.get(spec.model) ?? [];
    names.push(name);
    byModel.set(spec.model, names);
  }
  return byModel;
}
