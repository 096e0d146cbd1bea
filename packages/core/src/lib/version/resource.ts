/**
 * Resources that operators declare. A resource has a spec, written by
 * operators, and a status, written by the system.
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
  /** Upper limit of `maxTokens` of a request. */
  readonly maxTokens: number;
  /** Version that takes the traffic; absent for plain services. */
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
  /** Names of the models and services that it serves. */
  readonly pools: readonly string[];
  /** Host and port of its target process. */
  readonly address: string;
  readonly dataCentre: string;
  readonly fenceCheck: FenceCheck;
  /**
   * Whether the target drains: it completes its current requests and gets no
   * new ones.
   */
  readonly leaving: boolean;
}

/** A client with access as a caller or as an operator. */
export interface CallerSpec {
  readonly role: 'caller' | 'operator';
  /**
   * SHA-256 of each valid bearer key, in hexadecimal; two during a key
   * rotation.
   */
  readonly keyHashes: readonly string[];
  /** Weight against other callers under contention. */
  readonly weight: number;
}

/** Limits of the caller with the same name as the resource. */
export interface LimitSpec {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
  /** Seconds of unused rate that can accumulate for a burst. */
  readonly burstSeconds: number;
}

/** Spec types by kind of resource. */
export interface SpecByKind {
  readonly models: ModelSpec;
  readonly adapters: AdapterSpec;
  readonly versions: VersionSpec;
  readonly targets: TargetSpec;
  readonly callers: CallerSpec;
  readonly limits: LimitSpec;
}

/** Kinds of resource that operators declare. */
export type ResourceKind = keyof SpecByKind;

/** All kinds, in order of their dependencies. */
export const RESOURCE_KINDS: readonly ResourceKind[] = [
  'models',
  'versions',
  'adapters',
  'targets',
  'callers',
  'limits',
];

/** A condition in the status of a resource. */
export interface Condition {
  readonly type: string;
  readonly status: 'true' | 'false' | 'unknown';
  readonly reason: string;
  readonly message: string;
  /** Time of the last change, in milliseconds since the Unix epoch. */
  readonly since: number;
}

/** One declared resource. */
export interface Resource<K extends ResourceKind = ResourceKind> {
  readonly kind: K;
  readonly name: string;
  /** Revision of its last change; compared with `If-Match`. */
  readonly resourceVersion: number;
  readonly spec: SpecByKind[K];
}

/**
 * One change of the configuration. Each change increments the revision by one.
 */
export interface ResourceChange {
  readonly type: 'put' | 'delete';
  /** The resource after the change, or as it last was before a deletion. */
  readonly resource: Resource;
  readonly revision: number;
}

type ResourcesByName = ReadonlyMap<string, Resource>;

type ResourcesByKind = ReadonlyMap<ResourceKind, ResourcesByName>;

/** Immutable snapshot of all resources as of one revision. */
export class ConfigSnapshot {
  private resourceList: readonly Resource[] | undefined;

  /**
   * @param revision - Number of changes so far; 0 is the empty configuration.
   * @param resources - All resources as of the revision; ignored if `byKind` is
   *     given.
   * @param byKind - The same resources, if they are already indexed.
   */
  constructor(
    readonly revision: number,
    resources: Iterable<Resource>,
    private readonly byKind: ResourcesByKind = indexByKind(resources),
  ) {}

  /** All resources, ordered by kind. */
  get resources(): readonly Resource[] {
    this.resourceList ??= [...this.byKind.values()].flatMap(all => [
      ...all.values(),
    ]);
    return this.resourceList;
  }

  /**
   * @param kind - Kind of the resource.
   * @param name - Name of the resource.
   * @returns The resource, or undefined if it is not declared.
   */
  get<K extends ResourceKind>(kind: K, name: string): Resource<K> | undefined {
    return this.byKind.get(kind)!.get(name) as Resource<K> | undefined;
  }

  /**
   * @param kind - Kind of the resources.
   * @returns All resources of the kind, in order of declaration.
   */
  all<K extends ResourceKind>(kind: K): readonly Resource<K>[] {
    return [...this.byKind.get(kind)!.values()] as Resource<K>[];
  }

  /**
   * Applies changes to this snapshot.
   *
   * @param changes - The changes that follow this revision without a gap.
   * @returns The configuration after the changes. Unchanged kinds share their
   *     data with this snapshot, so that a change among tens of thousands of
   *     resources does not block the process.
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

function indexByKind(resources: Iterable<Resource>): ResourcesByKind {
  const byKind = new Map(
    RESOURCE_KINDS.map(kind => [kind, new Map<string, Resource>()]),
  );
  for (const resource of resources) {
    byKind.get(resource.kind)?.set(resource.name, resource);
  }
  return byKind;
}

/** A node's view of the configuration. Its revision never decreases. */
export interface ConfigView {
  current(): ConfigSnapshot;
  /**
   * @param callback - Called after each adopted revision.
   * @returns A disposable that removes the callback.
   */
  onChange(callback: (snapshot: ConfigSnapshot) => void): Disposable;
}
