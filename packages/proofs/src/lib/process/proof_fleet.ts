/** A small fleet in virtual time, with its platform, engines and faults. */
import {hash32} from '@oathead/core';
import type {Counters} from '@oathead/core';
import type {Host as ListedHost, Platform, RowWrite} from '@oathead/stores';
import {MemoryHosts, MemoryPlatform} from '@oathead/stores';
import {
  FakeEngine,
  FakeService,
  StoreFaults,
  VirtualClock,
  faultyPlatform,
} from '@oathead/stand-ins';
import {Host} from './host.js';
import {Network} from './network.js';
import {Observer, itemOf} from './observer.js';
import {platformAt, watchedTable} from './platform_at.js';
import {startEntry, startTarget} from './processes.js';
import type {Backend, EntryProcess, TargetProcess} from './processes.js';
import {CHUNK_ITEMS, POOLS} from './proof_settings.js';
import {RowSteps} from './row_steps.js';
import {Steps} from './steps.js';

/** How a fleet is set up. */
export interface ProofFleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly modelTargets: number;
  readonly serviceTargets: number;
  /** Time that each call of a service takes, in milliseconds. */
  readonly serviceMs?: number;
}

/** A small fleet in virtual time. */
export class ProofFleet implements Disposable {
  readonly clock = new VirtualClock();
  readonly hosts = new MemoryHosts();
  /** The platform itself, without faults. */
  readonly memory = new MemoryPlatform(undefined, this.hosts);
  /** The platform behind its faults. */
  readonly platform: Platform;
  /** Faults of the platform, for all. */
  readonly faults = new StoreFaults(this.clock);
  readonly observer = new Observer(this.clock);
  readonly network = new Network(this.clock, err =>
    this.observer.thrown.push(err),
  );
  readonly steps = new Steps(() => this.clock.now());
  /** The items whose steps count. */
  readonly focus = new Set<string>();
  /** Items of batch jobs. */
  readonly batchItems = new Set<string>();
  /** Items of each job, `caller/job`, in order. */
  readonly jobs = new Map<string, readonly string[]>();
  /** How often an engine died of an input. */
  crashes = 0;
  readonly entries: EntryProcess[] = [];
  readonly targets: TargetProcess[] = [];
  readonly counts = new Map<string, number>();
  private readonly counters: Counters = {
    count: (name, labels, by = 1) =>
      void this.counts.set(name, (this.counts.get(name) ?? 0) + by),
  };
  readonly rowSteps = new RowSteps(this);
  private readonly boots = new Map<string, number>();

  /** @param options - How it is set up. */
  constructor(readonly options: ProofFleetOptions) {
    const {memory} = this;
    const table = watchedTable(memory.table, rows => this.onLanded(rows));
    this.platform = faultyPlatform(
      {
        table,
        objects: memory.objects,
        weights: memory.weights,
        hosts: memory.hosts,
      },
      this.faults,
    );
    this.network.onSent = ({from, to, frame}) => {
      if (frame.kind !== 'ask' || frame.path !== 'serve') return;
      const {work} = frame.body as {
        readonly work: Parameters<typeof itemOf>[0];
      };
      if (!to.startsWith('entry') && this.focus.has(itemOf(work))) {
        this.steps.reach('dispatch', {process: from, target: to});
      }
    };
    const {modelTargets, serviceTargets} = options;
    for (let i = 0; i < modelTargets + serviceTargets; i++) {
      this.addTarget(i < modelTargets ? 'model' : 'service', i);
    }
    for (let i = 0; i < options.entries; i++) this.addEntry();
    this.listHosts();
  }

  /** @returns The live entry that callers reach first. */
  get first(): EntryProcess {
    return this.entries.find(({host, stopping}) => host.alive && !stopping)!;
  }

  /** Starts one more entry. */
  addEntry(): EntryProcess {
    const index = this.entries.length;
    const id = `entry-${index}`;
    const host = new Host(id, this.clock);
    const platform = platformAt(host, this.platform, rows =>
      this.rowSteps.onWrite(id, rows),
    );
    const address = `10.0.1.${index + 1}:7400`;
    const entry = startEntry(this.parts(), id, address, host, platform);
    this.entries.push(entry);
    return entry;
  }

  /** Starts a target process anew, beside the engine that it had. */
  restartTarget(id: string): TargetProcess {
    const index = this.targets.findIndex(target => target.id === id);
    const old = this.targets[index]!;
    const started = this.startTarget(id, old.address, old.backend);
    this.targets[index] = started;
    return started;
  }

  /** @returns The target process of this name. */
  target(id: string): TargetProcess {
    return this.targets.find(target => target.id === id)!;
  }

  /** @returns The entry of this name. */
  entry(id: string): EntryProcess {
    return this.entries.find(entry => entry.id === id)!;
  }

  /** Tells that an item has reached a step, if its steps count. */
  reach(
    step: Parameters<Steps['reach']>[0],
    item: string,
    process?: string,
  ): void {
    if (!this.focus.has(item)) return;
    this.steps.reach(step, process === undefined ? {} : {process});
  }

  [Symbol.dispose](): void {
    for (const {host} of [...this.entries, ...this.targets]) host.kill();
    for (const {entry} of this.entries) entry[Symbol.dispose]();
    for (const {service, backend} of this.targets) {
      service[Symbol.dispose]();
      backend.engine?.[Symbol.dispose]();
    }
  }

  private addTarget(kind: 'model' | 'service', index: number): void {
    const id = `target-${index}`;
    const address = `10.0.2.${index + 1}:7410`;
    const backend =
      kind === 'model' ? this.createEngine(id) : this.createService();
    this.targets.push(this.startTarget(id, address, backend));
  }

  private startTarget(
    id: string,
    address: string,
    backend: Backend,
  ): TargetProcess {
    const boot = (this.boots.get(id) ?? 0) + 1;
    this.boots.set(id, boot);
    const serviceName = backend.service ? POOLS.service : undefined;
    const {observer} = this;
    return startTarget(this.parts(), id, address, boot, backend, serviceName, {
      target: id,
      observer,
      reach: (step, item) => this.reach(step, item, id),
      isOnline: item => !this.batchItems.has(item),
    });
  }

  private createEngine(id: string): Backend {
    const versions = [{model: POOLS.model, version: 'v1'}];
    const engine: FakeEngine = new FakeEngine(this.clock, {
      model: {seed: hash32(`${this.options.seed}/${id}`)},
      served: {versions},
      onCrash: () => {
        this.crashes++;
        engine.crash();
      },
    });
    return {engine};
  }

  private createService(): Backend {
    const service = new FakeService(this.clock);
    service.setFaults({delayMs: this.options.serviceMs ?? 150});
    return {service};
  }

  private parts() {
    const {clock, network, counters} = this;
    return {clock, network, counters, seed: this.options.seed};
  }

  private listHosts(): void {
    const listed = this.targets.map(({id, address}): ListedHost => ({
      id,
      role: 'target',
      address,
      dataCentre: 'hall-a',
      state: 'live',
    }));
    this.hosts.set(listed);
  }

  private onLanded(rows: readonly RowWrite[]): void {
    for (const {item, state} of this.rowSteps.outcomesIn(rows, CHUNK_ITEMS)) {
      this.observer.record(item, state);
    }
  }
}
