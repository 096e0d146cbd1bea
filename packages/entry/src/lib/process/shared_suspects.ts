/**
 * Shares what is known of work that kills targets. Its caller sends it again,
 * perhaps to another entry, which must know: one row, read only when the head
 * tells that it has changed.
 */
import {DisposableStore, sleep} from '@oathead/core';
import type {Clock, Counters, Random} from '@oathead/core';
import {bumpHead, withSuspects} from '@oathead/membership';
import type {Membership} from '@oathead/membership';
import type {Row, TableStore} from '@oathead/stores';
import {z} from 'zod';
import {LocalSuspects} from './suspect_registry.js';
import type {SuspectRegistry, Verdict} from './suspect_registry.js';

/** What sharing needs. */
export interface SharedSuspectsDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly table: TableStore;
  readonly membership: Membership;
}

const ROW_KEY = 'suspects';
/** Verdicts that the row holds; older ones make room. */
const MAX_VERDICTS = 512;
const RETRY_MS = 1000;

const ROW = z.object({
  /** Oldest first. */
  verdicts: z.array(
    z.object({work: z.string(), verdict: z.enum(['suspect', 'blocked'])}),
  ),
});

type SharedVerdict = z.infer<typeof ROW>['verdicts'][number];

/** The verdicts of all entries. */
export class SharedSuspects implements SuspectRegistry, Disposable {
  private readonly held = new DisposableStore();
  private readonly stop = new AbortController();
  private readonly local: LocalSuspects;
  /** Verdicts that the row may not hold yet, by work. */
  private readonly unwritten = new Map<string, Verdict>();
  private writing = false;
  private seen = 0;

  /** @param deps - Store and standing in the fleet. */
  constructor(private readonly deps: SharedSuspectsDeps) {
    this.local = new LocalSuspects(deps.counters);
    this.held.defer(() => this.stop.abort());
    this.held.add(
      deps.membership.onHead(({suspects}) => void this.follow(suspects)),
    );
  }

  get empty(): boolean {
    return this.local.empty;
  }

  verdict(work: string): Verdict {
    return this.local.verdict(work);
  }

  died(work: string, alone: boolean): void {
    this.local.died(work, alone);
    this.share(work, alone ? 'blocked' : 'suspect');
  }

  completed(work: string): void {
    if (this.local.verdict(work) !== 'suspect') return;
    this.local.completed(work);
    this.share(work, 'clear');
  }

  /** Fingerprints of work that must not run. */
  get blocked(): readonly string[] {
    return this.local.blockedWork;
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private share(work: string, verdict: Verdict): void {
    this.unwritten.set(work, verdict);
    if (!this.writing) void this.writeAll();
  }

  private async writeAll(): Promise<void> {
    this.writing = true;
    while (this.unwritten.size > 0 && !this.stop.signal.aborted) {
      const batch = new Map(this.unwritten);
      if (await this.write(batch)) this.written(batch);
      else await sleep(this.deps.clock, RETRY_MS, this.stop.signal);
    }
    this.writing = false;
  }

  private written(batch: ReadonlyMap<string, Verdict>): void {
    for (const [work, verdict] of batch) {
      if (this.unwritten.get(work) === verdict) this.unwritten.delete(work);
    }
  }

  private async write(batch: ReadonlyMap<string, Verdict>): Promise<boolean> {
    const {table} = this.deps;
    const read = await table.read([ROW_KEY]);
    if (!read.ok) return false;
    const base = read.value[0];
    const value = {verdicts: merged(verdictsOf(base), batch)};
    const outcome = await bumpHead(
      this.deps,
      {marker: {key: ROW_KEY, base, value}},
      withSuspects,
    );
    return outcome.kind === 'committed';
  }

  private async follow(revision: number): Promise<void> {
    if (revision === this.seen) return;
    const read = await this.deps.table.read([ROW_KEY]);
    if (!read.ok) return;
    this.seen = revision;
    for (const {work, verdict} of verdictsOf(read.value[0])) {
      if (this.unwritten.has(work)) continue;
      if (verdict === 'blocked') this.local.block(work);
      else this.local.suspect(work);
    }
  }
}

function verdictsOf(row: Row | undefined): readonly SharedVerdict[] {
  const parsed = ROW.safeParse(row?.value);
  return parsed.success ? parsed.data.verdicts : [];
}

/** The row with a batch of verdicts; what was blocked once stays blocked. */
function merged(
  verdicts: readonly SharedVerdict[],
  batch: ReadonlyMap<string, Verdict>,
): SharedVerdict[] {
  const kept = new Map(verdicts.map(({work, verdict}) => [work, verdict]));
  for (const [work, verdict] of batch) {
    if (kept.get(work) === 'blocked') continue;
    kept.delete(work);
    if (verdict !== 'clear') kept.set(work, verdict);
  }
  return [...kept]
    .slice(-MAX_VERDICTS)
    .map(([work, verdict]) => ({work, verdict}));
}
