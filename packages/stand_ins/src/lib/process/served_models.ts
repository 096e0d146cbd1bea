/** The versions, adapters and role that an engine stand-in serves. */
import {
  notRun,
  type EngineLoad,
  type EngineRole,
  type Order,
  type OrderAction,
  type OrderOutcome,
} from '@oathead/core';

/** One version as the engine reports it. */
export type EngineVersion = EngineLoad['versions'][number];

/** Versions at first, and how orders are carried out. */
export interface ServedModelsOptions {
  /** Ready from the beginning. */
  readonly versions: readonly {
    readonly model: string;
    readonly version: string;
    readonly adapters?: readonly string[];
  }[];
  /** Time to load a version, in milliseconds. */
  readonly loadVersionMs: number;
  /** Time to load an adapter, in milliseconds. */
  readonly loadAdapterMs: number;
  /** Whether orders with an old fence are refused, or carried out. */
  readonly checksFence: boolean;
  /** Versions whose weights are broken: loading them fails. */
  readonly brokenVersions: readonly string[];
}

/** Defaults of {@link ServedModelsOptions}. */
export const DEFAULT_SERVED_MODELS: ServedModelsOptions = {
  versions: [{model: 'review-llm', version: 'v1'}],
  loadVersionMs: 5000,
  loadAdapterMs: 500,
  checksFence: true,
  brokenVersions: [],
};

interface Adapter {
  readonly name: string;
  readonly readyAt: number;
}

interface Version {
  readonly model: string;
  readonly version: string;
  readonly readyAt: number;
  readonly adapters: readonly Adapter[];
}

type Handlers = {
  readonly [K in OrderAction['kind']]: (
    action: Extract<OrderAction, {readonly kind: K}>,
    now: number,
  ) => void;
};

/** What an engine serves, and the orders that change it. */
export class ServedModels {
  private readonly options: ServedModelsOptions;
  private versions: readonly Version[];
  private highestToken = -Infinity;
  private currentRole: EngineRole = 'mixed';
  private readonly taken: Order[] = [];

  /** @param options - What differs from {@link DEFAULT_SERVED_MODELS}. */
  constructor(options: Partial<ServedModelsOptions> = {}) {
    this.options = {...DEFAULT_SERVED_MODELS, ...options};
    this.versions = this.options.versions.map(v => ({
      model: v.model,
      version: v.version,
      readyAt: -Infinity,
      adapters: (v.adapters ?? []).map(name => ({name, readyAt: -Infinity})),
    }));
  }

  /** The role in force. */
  get role(): EngineRole {
    return this.currentRole;
  }

  /** Orders that were carried out, in order. */
  get orders(): readonly Order[] {
    return this.taken;
  }

  /**
   * @param order - What is to be done.
   * @param now - Milliseconds.
   * @returns Whether it was taken; loading goes on after that.
   */
  order(order: Order, now: number): OrderOutcome {
    const {token} = order.fence;
    if (this.options.checksFence && token < this.highestToken) {
      const message = `token ${token} is older than ${this.highestToken}`;
      return {kind: 'refused', refusal: notRun('fenced', message)};
    }
    this.highestToken = Math.max(this.highestToken, token);
    this.taken.push(order);
    const handle = this.handlers[order.action.kind] as (
      action: OrderAction,
      now: number,
    ) => void;
    handle(order.action, now);
    return {kind: 'taken'};
  }

  /** @returns The versions, as they are reported. */
  report(now: number): readonly EngineVersion[] {
    return this.versions.map(v => ({
      model: v.model,
      version: v.version,
      adapters: readyAdapters(v, now),
      state: this.stateOf(v, now),
    }));
  }

  /**
   * @param model - The model that is asked for.
   * @param version - Its version, or any.
   * @param adapter - Its adapter, or none.
   * @param now - Milliseconds.
   * @returns Whether such a request can be answered.
   */
  serves(
    model: string,
    version: string | undefined,
    adapter: string | undefined,
    now: number,
  ): boolean {
    return this.versions.some(
      v =>
        v.model === model &&
        (version === undefined || v.version === version) &&
        this.stateOf(v, now) === 'ready' &&
        (adapter === undefined || readyAdapters(v, now).includes(adapter)),
    );
  }

  private readonly handlers: Handlers = {
    ['load-version']: ({model, version}, now) => {
      if (this.find(model, version)) return;
      const readyAt = now + this.options.loadVersionMs;
      const added = {model, version, readyAt, adapters: []};
      this.versions = [...this.versions, added];
    },
    ['unload-version']: ({model, version}) => {
      const gone = this.find(model, version);
      this.versions = this.versions.filter(v => v !== gone);
    },
    ['load-adapter']: ({model, adapter}, now) => {
      const readyAt = now + this.options.loadAdapterMs;
      this.changeAdapters(model, adapters =>
        adapters.some(a => a.name === adapter)
          ? adapters
          : [...adapters, {name: adapter, readyAt}],
      );
    },
    ['unload-adapter']: ({model, adapter}) => {
      this.changeAdapters(model, adapters =>
        adapters.filter(a => a.name !== adapter),
      );
    },
    ['set-role']: ({role}) => {
      this.currentRole = role;
    },
  };

  private find(model: string, version: string): Version | undefined {
    return this.versions.find(v => v.model === model && v.version === version);
  }

  private changeAdapters(
    model: string,
    change: (adapters: readonly Adapter[]) => readonly Adapter[],
  ): void {
    this.versions = this.versions.map(v =>
      v.model === model ? {...v, adapters: change(v.adapters)} : v,
    );
  }

  private stateOf(version: Version, now: number): EngineVersion['state'] {
    if (now < version.readyAt) return 'loading';
    const broken = this.options.brokenVersions.includes(version.version);
    return broken ? 'failed' : 'ready';
  }
}

function readyAdapters(version: Version, now: number): readonly string[] {
  return version.adapters.filter(a => a.readyAt <= now).map(a => a.name);
}
