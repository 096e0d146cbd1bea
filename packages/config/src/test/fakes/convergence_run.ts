/** Many entries follow one configuration in virtual time, with faults. */
import {
  DisposableStore,
  NO_COUNTERS,
  repeat,
  seededRandom,
  sleep,
} from '@oathead/core';
import type {Random} from '@oathead/core';
import {HEAD_ROW} from '@oathead/membership';
import {MemoryTable} from '@oathead/stores';
import {FaultyTable, StoreFaults, VirtualClock} from '@oathead/stand-ins';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {ConfigCache} from '../../lib/process/config_cache.js';
import {ConfigStore} from '../../lib/process/config_store.js';
import {FakeHead} from './fake_head.js';

export interface ConvergenceOptions {
  readonly entries: number;
  readonly changes: number;
  /** Mean time between changes. */
  readonly changeMs: number;
  /** Mean time between restarts of entries; none at 0. */
  readonly restartMs: number;
  /** Mean time between outages of the store; none at 0. */
  readonly outageMs: number;
  readonly outageLengthMs: number;
  /** Share of writes whose answer is lost. */
  readonly lostAnswers: number;
  /** The store goes down as soon as a change is accepted, each time. */
  readonly outageAtAccept?: boolean;
  readonly seed: number;
}

export interface ConvergenceResult {
  /** From the acceptance of a change to its adoption, at each entry, in ms. */
  readonly lags: Histogram;
  readonly accepted: number;
  /** Changes that ended without an answer, and those made all the same. */
  readonly unanswered: number;
  readonly restarts: number;
  readonly outages: number;
  /** Times that an entry's revision went down, or began too low. */
  readonly reverts: number;
  readonly reads: number;
  readonly virtualMs: number;
}

interface Node {
  readonly held: DisposableStore;
  readonly cache: ConfigCache;
  readonly store: ConfigStore;
  /** Accepted revisions that it has not adopted, with their times. */
  readonly waiting: Map<number, number>;
}

const HEAD_MS = 1_000;
const PEER_TRIP_MS = 3;
const STORE_TRIP_MS = 15;
const STORE_TIMEOUT_MS = 500;
const START_MS = 5_000;
const DRAIN_MS = 20_000;
/** What was accepted so long ago must be known to an entry that gets ready. */
const IN_FORCE_MS = 5_000;

export async function runConvergence(
  options: ConvergenceOptions,
): Promise<ConvergenceResult> {
  const run = new ConvergenceRun(options);
  return run.result();
}

class ConvergenceRun {
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly faults = new StoreFaults(this.clock);
  private readonly table = new FaultyTable(new MemoryTable(), this.faults);
  private readonly nodes: Node[] = [];
  private readonly accepted: {revision: number; at: number}[] = [];
  private readonly lags = build({
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 3,
  });
  private unanswered = 0;
  private restarts = 0;
  private outages = 0;
  private reverts = 0;
  private down = false;
  private ended = false;

  constructor(private readonly options: ConvergenceOptions) {
    this.random = seededRandom(options.seed);
    this.faults.add({fault: {kind: 'slow', delayMs: STORE_TRIP_MS}});
    this.faults.add({
      fault: {kind: 'answer-lost', afterMs: STORE_TIMEOUT_MS},
      matches: ({writes}) =>
        writes && this.random.float() < options.lostAnswers,
    });
  }

  async result(): Promise<ConvergenceResult> {
    const {options, clock} = this;
    for (let i = 0; i < options.entries; i++) this.startNode(i);
    await clock.advance(START_MS);
    const running = this.change();
    this.every(options.restartMs, () => this.restart());
    this.every(options.outageMs, () => this.outage());
    while (!this.ended) await clock.advance(HEAD_MS);
    await running;
    await clock.advance(DRAIN_MS);
    const left = this.nodes.reduce((sum, n) => sum + n.waiting.size, 0);
    if (left > 0) throw new Error(`${left} revisions were never adopted`);
    for (const {held} of this.nodes) held[Symbol.dispose]();
    return {
      lags: this.lags,
      accepted: this.accepted.length,
      unanswered: this.unanswered,
      restarts: this.restarts,
      outages: this.outages,
      reverts: this.reverts,
      reads: this.faults.counts.reads,
      virtualMs: clock.now(),
    };
  }

  private every(meanMs: number, task: () => void): void {
    if (meanMs === 0) return;
    const again = () => {
      if (this.ended) return;
      task();
      this.clock.after(this.around(meanMs), again);
    };
    this.clock.after(this.around(meanMs), again);
  }

  private around(meanMs: number): number {
    return meanMs * (0.5 + this.random.float());
  }

  private startNode(index: number): void {
    const {clock, random, table: store} = this;
    const head = new FakeHead(store);
    const common = {store, headRow: HEAD_ROW, clock, random};
    const counters = NO_COUNTERS;
    const peers = {
      ids: () => [...this.nodes.keys()].filter(i => i !== index).map(String),
      ask: async (id: string, since: number) => {
        await sleep(clock, PEER_TRIP_MS);
        const peer = this.nodes[Number(id)];
        return peer?.cache.ready ? peer.cache.delta(since) : undefined;
      },
    };
    const cache = new ConfigCache({...common, counters, head, peers});
    const held = new DisposableStore();
    held.add(cache);
    const poll = () => held.add(repeat(clock, HEAD_MS, () => head.poll()));
    clock.after(random.float() * HEAD_MS, poll);
    const onCommitted = cache.offer.bind(cache);
    const node: Node = {
      held,
      cache,
      store: new ConfigStore({
        ...common,
        counters,
        onCommitted: change => onCommitted([change]),
      }),
      waiting: new Map(),
    };
    this.nodes[index] = node;
    this.follow(node);
    void cache.start().then(() => this.ready(node));
  }

  private follow(node: Node): void {
    let last = -1;
    node.cache.onChange(({revision}) => {
      if (revision <= last) this.reverts++;
      last = revision;
      for (const [wanted, at] of node.waiting) {
        if (wanted > revision) continue;
        this.lags.recordValue(this.clock.now() - at);
        node.waiting.delete(wanted);
      }
    });
  }

  /** An entry that gets ready may not be behind what is long in force. */
  private ready(node: Node): void {
    const {revision} = node.cache.current();
    const inForce = this.accepted.findLast(
      ({at}) => at <= this.clock.now() - IN_FORCE_MS,
    );
    if (inForce && inForce.revision > revision) this.reverts++;
  }

  private async change(): Promise<void> {
    for (let i = 0; i < this.options.changes; i++) {
      await sleep(this.clock, this.around(this.options.changeMs));
      await this.changeOnce(i);
    }
    this.ended = true;
  }

  private async changeOnce(i: number): Promise<void> {
    const ready = this.nodes.filter(({cache}) => cache.ready);
    const node = ready[this.random.int(ready.length)];
    if (!node) return;
    const name = `m${this.random.int(20)}`;
    const spec = {maxOnline: i + 1};
    const applied = await node.store.apply('models', name, spec);
    if (!applied.ok) {
      this.unanswered++;
      return;
    }
    const revision = applied.value.resourceVersion;
    const at = this.clock.now();
    this.accepted.push({revision, at});
    if (this.options.outageAtAccept) this.outage();
    for (const {cache, waiting} of this.nodes) {
      if (cache.current().revision >= revision) this.lags.recordValue(0);
      else if (cache.ready) waiting.set(revision, at);
    }
  }

  private restart(): void {
    const index = this.random.int(this.nodes.length);
    this.nodes[index]!.held[Symbol.dispose]();
    this.nodes[index]!.waiting.clear();
    this.restarts++;
    this.startNode(index);
  }

  private outage(): void {
    if (this.down) return;
    const fault = {kind: 'request-lost', afterMs: STORE_TIMEOUT_MS} as const;
    const outage = this.faults.add({fault});
    this.down = true;
    this.outages++;
    this.clock.after(this.around(this.options.outageLengthMs), () => {
      this.down = false;
      outage[Symbol.dispose]();
    });
  }
}
