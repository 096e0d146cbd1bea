/** Whether a new request can be served here at all. */
import {notRun, poolOf, workFingerprint} from '@oathead/core';
import type {
  EngineClient,
  Refusal,
  ServeRequest,
  ServedVersion,
  ServiceClient,
  Work,
} from '@oathead/core';
import type {Backend} from '../request/backend_call.js';
import type {AdoptedConfig} from '../version/adopted_config.js';
import type {EngineWatch} from './engine_watch.js';

/** What stands behind this process. */
export interface Backends {
  readonly engine?: EngineClient;
  /** Plain services by name. */
  readonly services: ReadonlyMap<string, ServiceClient>;
}

/** Where a request goes. */
export interface Route {
  readonly backend: Backend;
  readonly version: string;
}

/** Plain services have no versions that the system knows. */
const SERVICE_VERSION = 'service';
const RETRY_MS = 1_000;

/** Finds the backend and version for a request. */
export class Gate {
  /**
   * @param backends - What stands behind this process.
   * @param config - What is declared.
   * @param watch - What the engine says of itself; absent without an engine.
   */
  constructor(
    private readonly backends: Backends,
    private readonly config: AdoptedConfig,
    private readonly watch: EngineWatch | undefined,
  ) {}

  /**
   * @param req - A request.
   * @returns Why it can't be served here; undefined when it can.
   */
  refusal(req: ServeRequest): Refusal | undefined {
    const {work} = req;
    const name = poolOf(work);
    if (!this.config.pool(name)) {
      return notRun('no-target', `${name} is not declared for this target`);
    }
    if (this.config.isBlocked(workFingerprint(work))) {
      return notRun('suspect', 'targets have died of this request');
    }
    if (this.route(work)) return undefined;
    const why = `${name} is not ready at this target`;
    return notRun('no-target', why, RETRY_MS);
  }

  /**
   * @param work - What a caller wants done.
   * @returns Where it goes now; undefined when nothing here is ready for it.
   */
  route(work: Work): Route | undefined {
    if (work.kind === 'call') {
      const service = this.backends.services.get(work.service);
      if (!service) return undefined;
      const backend = {kind: 'service', service} as const;
      return {backend, version: SERVICE_VERSION};
    }
    const {engine} = this.backends;
    // Handed to an engine that is down, it could not be called "not run".
    if (this.watch?.down) return undefined;
    const version = this.readyVersion(work.model, work.adapter);
    if (!engine || version === undefined) return undefined;
    return {backend: {kind: 'model', engine}, version};
  }

  /** @returns What can be served here, or is being loaded. */
  versions(): readonly ServedVersion[] {
    const loaded = this.watch?.load?.versions ?? [];
    const models = loaded.map(({model, version, adapters, state}) => ({
      pool: model,
      version,
      adapters,
      state,
    }));
    const services = [...this.backends.services.keys()].map(pool => ({
      pool,
      version: SERVICE_VERSION,
      adapters: [],
      state: 'ready' as const,
    }));
    return [...models, ...services];
  }

  private readyVersion(model: string, adapter?: string): string | undefined {
    const ready = (this.watch?.load?.versions ?? []).filter(
      served =>
        served.model === model &&
        served.state === 'ready' &&
        (adapter === undefined || served.adapters.includes(adapter)),
    );
    const wanted = this.config.pool(model)?.version;
    const preferred = ready.find(served => served.version === wanted);
    return (preferred ?? ready.at(-1))?.version;
  }
}
