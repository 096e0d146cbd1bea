/**
 * What operators declare. A resource has a spec, written by operators, and a
 * status, written by the system.
 */
import type {FenceCheck} from '../process/order.js';
import type {BatchPolicy} from './target_config.js';

/** A model or plain service that callers can name. */
export interface ModelSpec {
  readonly type: 'model' | 'service';
  readonly batch: BatchPolicy;
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
  readonly maxOnline: number;
  /** Largest `maxTokens` of a request. */
  readonly maxTokens: number;
  /** The version that takes traffic; absent for plain services. */
  readonly version?: string;
}

/** An adapter of a model. */
export interface AdapterSpec {
  readonly model: string;
  /** Name in the weight store. */
  readonly weights: string;
}

/** A version of a model. */
export interface VersionSpec {
  readonly model: string;
  /** Name in the weight store. */
  readonly weights: string;
}

/** A target that belongs to the fleet. */
export interface TargetSpec {
  /** The models and services that it serves. */
  readonly pools: readonly string[];
  /** Host and port of its target process. */
  readonly address: string;
  readonly dataCentre: string;
  readonly fenceCheck: FenceCheck;
  /** Declared out: it finishes what it has and gets nothing new. */
  readonly leaving: boolean;
}

/** Someone who may call, or operate. */
export interface CallerSpec {
  readonly role: 'caller' | 'operator';
  /** SHA-256 of each valid bearer key, in hexadecimal; two while rotating. */
  readonly keyHashes: readonly string[];
  /** Share under contention, against other callers. */
  readonly weight: number;
}

/** Limits of one caller; its name is the caller's. */
export interface LimitSpec {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
  /** Seconds' worth of unused rate that may be spent at once. */
  readonly burstSeconds: number;
}

/** Kinds of resource that operators write, with their specs. */
export interface SpecByKind {
  readonly models: ModelSpec;
  readonly adapters: AdapterSpec;
  readonly versions: VersionSpec;
  readonly targets: TargetSpec;
  readonly callers: CallerSpec;
  readonly limits: LimitSpec;
}

/** Kinds of resource that operators write. */
export type ResourceKind = keyof SpecByKind;

/** All kinds, in the order in which they depend on each other. */
export const RESOURCE_KINDS: readonly ResourceKind[] = [
  'models',
  'versions',
  'adapters',
  'targets',
  'callers',
  'limits',
];

/** What the system says about a resource. */
export interface Condition {
  readonly type: string;
  readonly status: 'true' | 'false' | 'unknown';
  readonly reason: string;
  readonly message: string;
  /** When it last changed, in milliseconds since the Unix epoch. */
  readonly since: number;
}

/** One declared resource. */
export interface Resource<K extends ResourceKind = ResourceKind> {
  readonly kind: K;
  readonly name: string;
  /** The revision of its last change; `If-Match` compares it. */
  readonly resourceVersion: number;
  readonly spec: SpecByKind[K];
}

/** One change of the configuration; revisions count up by one with each. */
export interface ResourceChange {
  readonly type: 'put' | 'delete';
  /** As of this change; for a deletion, as it was last. */
  readonly resource: Resource;
  readonly revision: number;
}

type ResourcesByName = ReadonlyMap<string, Resource>;

type ResourcesByKind = ReadonlyMap<ResourceKind, ResourcesByName>;

/** Every resource as of one revision. Never changes; a new one replaces it. */
export class ConfigSnapshot {
  private flat: readonly Resource[] | undefined;

  /**
   * @param revision - Counts changes; 0 is the empty configuration.
   * @param resources - All resources as of that revision.
   * @param byKind - The same resources, where they are indexed already.
   */
  constructor(
    readonly revision: number,
    resources: Iterable<Resource>,
    private readonly byKind: ResourcesByKind = indexed(resources),
  ) {}

  /** All resources, by kind. */
  get resources(): readonly Resource[] {
    this.flat ??= [...this.byKind.values()].flatMap(all => [...all.values()]);
    return this.flat;
  }

  /**
   * @param kind - Kind of the resource.
   * @param name - Its name.
   * @returns The resource, if it is declared.
   */
  get<K extends ResourceKind>(kind: K, name: string): Resource<K> | undefined {
    return this.byKind.get(kind)!.get(name) as Resource<K> | undefined;
  }

  /**
   * @param kind - Kind of the resources.
   * @returns All of the kind, in order of declaration.
   */
  all<K extends ResourceKind>(kind: K): readonly Resource<K>[] {
    return [...this.byKind.get(kind)!.values()] as Resource<K>[];
  }

  /**
   * @param changes - The changes that follow this revision without a gap.
   * @returns The configuration after them. Kinds that did not change are
   *     shared, so that a change among tens of thousands of resources does not
   *     hold up the process.
   */
  advance(changes: readonly ResourceChange[]): ConfigSnapshot {
    const last = changes.at(-1);
    if (!last) return this;
    const byKind = new Map(this.byKind);
    const copied = new Map<ResourceKind, Map<string, Resource>>();
    for (const {type, resource} of changes) {
      const {kind, name} = resource;
      const all = copied.get(kind) ?? new Map(byKind.get(kind));
      copied.set(kind, all);
      if (type === 'put') all.set(name, resource);
      else all.delete(name);
    }
    for (const [kind, all] of copied) byKind.set(kind, all);
    return new ConfigSnapshot(last.revision, [], byKind);
  }
}

function indexed(resources: Iterable<Resource>): ResourcesByKind {
  const byKind = new Map(
    RESOURCE_KINDS.map(kind => [kind, new Map<string, Resource>()]),
  );
  for (const resource of resources) {
    byKind.get(resource.kind)?.set(resource.name, resource);
  }
  return byKind;
}

/** A node's view of the configuration: it only ever moves forward. */
export interface ConfigView {
  current(): ConfigSnapshot;
  /** Calls back after each adopted revision. */
  onChange(callback: (snapshot: ConfigSnapshot) => void): Disposable;
}
