/** Engines that take orders, with what is between them and their holder. */
import {notRun} from '@oathead/core';
import type {
  Clock,
  LoadReport,
  Order,
  OrderOutcome,
  ServedVersion,
} from '@oathead/core';
import type {OrderSender} from '../../lib/process/rollout_leader.js';
import {loadReport} from './load_reports.js';

const TRIP_MS = 20;

interface Loaded {
  readonly readyAt: number;
  readonly broken: boolean;
  readonly adapters: Set<string>;
}

interface Engine {
  readonly versions: Map<string, Loaded>;
  highestToken: number;
  sequence: number;
}

/** What becomes of one order on its way. */
export type Fate = 'delivered' | 'answer-lost' | 'late';

/** Engines of the model `m`. Their fences are checked, by whomever. */
export class FakeEngines implements OrderSender {
  readonly engines = new Map<string, Engine>();
  /** Says what becomes of an order. */
  fate: (order: Order, target: string) => Fate = () => 'delivered';
  /** Orders that are on their way for long; each call delivers one. */
  readonly late: (() => OrderOutcome)[] = [];
  readonly applied: string[] = [];
  /** Versions whose loads fail. */
  readonly broken = new Set<string>();
  /** Most loads at once, ever. */
  mostLoading = 0;
  /** Moments at which a target that had a ready version had none. */
  readonly outages: string[] = [];
  cfgRevision = 0;

  constructor(
    private readonly clock: Clock,
    private readonly loadMs: number,
    targets: readonly string[],
    version: string,
  ) {
    for (const target of targets) {
      const loaded = {readyAt: 0, broken: false, adapters: new Set<string>()};
      const versions = new Map([[version, loaded]]);
      this.engines.set(target, {versions, highestToken: 0, sequence: 0});
    }
  }

  async send(
    target: string,
    order: Order,
    signal: AbortSignal,
  ): Promise<OrderOutcome | undefined> {
    const fate = this.fate(order, target);
    await new Promise<void>(resolve => this.clock.after(TRIP_MS, resolve));
    const deliver = () => this.apply(target, order);
    if (fate === 'delivered') return deliver();
    if (fate === 'answer-lost') deliver();
    else this.late.push(deliver);
    await new Promise(resolve => signal.addEventListener('abort', resolve));
    return undefined;
  }

  report(target: string): LoadReport {
    const engine = this.engines.get(target)!;
    return loadReport({
      targetId: target,
      sequence: ++engine.sequence,
      cfgRevision: this.cfgRevision,
      versions: this.served(engine),
    });
  }

  versionsAt(target: string): readonly string[] {
    return [...this.engines.get(target)!.versions.keys()].sort();
  }

  private apply(target: string, {fence, action}: Order): OrderOutcome {
    const engine = this.engines.get(target)!;
    if (fence.token < engine.highestToken) {
      return {kind: 'refused', refusal: notRun('fenced', 'an old token')};
    }
    engine.highestToken = fence.token;
    this.applied.push(`${target} ${action.kind}`);
    const hadReady = this.hasReady(engine);
    if (action.kind === 'load-version') this.load(engine, action.version);
    if (action.kind === 'unload-version') {
      engine.versions.delete(action.version);
    }
    if (action.kind === 'load-adapter') {
      for (const {adapters} of engine.versions.values()) {
        adapters.add(action.adapter);
      }
    }
    if (hadReady && !this.hasReady(engine)) {
      this.outages.push(`${target} at ${this.clock.now()}`);
    }
    return {kind: 'taken'};
  }

  private load({versions}: Engine, version: string): void {
    if (versions.has(version)) return;
    const readyAt = this.clock.now() + this.loadMs;
    const broken = this.broken.has(version);
    versions.set(version, {readyAt, broken, adapters: new Set()});
    const loading = [...this.engines.values()].filter(engine =>
      this.served(engine).some(({state}) => state === 'loading'),
    );
    this.mostLoading = Math.max(this.mostLoading, loading.length);
  }

  private hasReady(engine: Engine): boolean {
    return this.served(engine).some(({state}) => state === 'ready');
  }

  private served({versions}: Engine): readonly ServedVersion[] {
    const now = this.clock.now();
    return [...versions].map(([version, {readyAt, broken, adapters}]) => ({
      pool: 'm',
      version,
      adapters: [...adapters],
      state: now < readyAt ? 'loading' : broken ? 'failed' : 'ready',
    }));
  }
}
