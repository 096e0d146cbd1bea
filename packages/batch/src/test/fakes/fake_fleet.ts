/** Entries that work off batch jobs over one platform, in virtual time. */
import {hash32, seededRandom} from '@oathead/core';
import type {BatchItem, ItemOutcome, ItemRunner} from '@oathead/core';
import {MEMBERSHIP_DEFAULTS} from '@oathead/membership';
import type {MembershipSettings} from '@oathead/membership';
import {MemoryPlatform} from '@oathead/stores';
import {FakeMembers} from '../../../../membership/dist/test/fakes/fake_members.js';
import type {FakeMember} from '../../../../membership/dist/test/fakes/fake_members.js';
import {BatchJobs} from '../../lib/process/batch_jobs.js';
import type {BatchSettings} from '../../lib/process/batch_settings.js';
import type {ItemResult, JobItem, JobStatus} from '../../lib/request/job.js';
import {CheckedTable} from './checked_table.js';

/** One attempt at an item, as the targets saw it. */
export interface Attempt {
  readonly entry: string;
  readonly item: BatchItem;
  readonly at: number;
  /** When the target was free of it; the entry may never have heard. */
  endedAt?: number;
}

/** Decides what becomes of an attempt. */
export type Script = (attempt: Attempt) => {
  readonly outcome: ItemOutcome;
  readonly afterMs: number;
};

export interface FakeEntry extends FakeMember {
  readonly id: string;
  readonly jobs: BatchJobs;
}

export const ANSWERED: ItemOutcome = {
  kind: 'done',
  answer: {kind: 'response', status: 200, body: 'ok'},
};

const ABORT_MS = 5;

export class FakeFleet {
  readonly members: FakeMembers;
  readonly table: CheckedTable;
  readonly attempts: Attempt[] = [];
  script: Script = () => ({outcome: ANSWERED, afterMs: 100});
  weights: Readonly<Record<string, number>> = {};
  /** Whether targets stop an item when told to. */
  letsGo = true;
  /** Items that targets take at once from each entry. */
  room = 8;

  constructor(
    seed = 1,
    private readonly batch: Partial<BatchSettings> = {},
    membership: Partial<MembershipSettings> = {},
  ) {
    const memory = new MemoryPlatform();
    const {shareCount} = {...MEMBERSHIP_DEFAULTS, ...membership};
    this.table = new CheckedTable(memory.objects, shareCount);
    const platform = {...memory, table: this.table};
    this.members = new FakeMembers(seed, membership, platform);
  }

  get clock(): FakeMembers['clock'] {
    return this.members.clock;
  }

  start(id: string): FakeEntry {
    const member = this.members.start(id);
    const {seed, counters} = this.members;
    const jobs = new BatchJobs(
      {
        clock: member.host.clock,
        random: seededRandom(hash32(`batch/${seed}/${id}`)),
        counters,
        table: member.table,
        objects: member.objects,
        membership: member.members,
        runner: new FakeRunner(this, id, member),
        weightOf: caller => this.weights[caller] ?? 1,
      },
      this.batch,
    );
    return {...member, id, jobs};
  }

  async accept(
    entry: FakeEntry,
    id: string,
    jobItems: readonly JobItem[],
    caller = 'bank-a',
  ) {
    const {jobs} = entry;
    return this.clock.until(jobs.accept(caller, {id, items: jobItems}));
  }

  async status(
    entry: FakeEntry,
    id: string,
    caller = 'bank-a',
  ): Promise<JobStatus | undefined> {
    const status = await this.clock.until(entry.jobs.status(caller, id));
    return status.ok ? status.value : undefined;
  }

  /** Lets time pass until a job is in a state; says whether it came to be. */
  reaches(
    entry: FakeEntry,
    id: string,
    state: string,
    limitMs: number,
    caller?: string,
  ) {
    return this.members.until(
      async () => (await this.status(entry, id, caller))?.state === state,
      limitMs,
      1_000,
    );
  }

  async results(
    entry: FakeEntry,
    id: string,
    after?: string,
    caller = 'bank-a',
  ): Promise<readonly ItemResult[]> {
    const {jobs} = entry;
    const read = async () => {
      const results = await jobs.results(caller, id, {after});
      if (!results.ok) throw new Error(results.err.kind);
      const lines: ItemResult[] = [];
      for await (const line of results.value) {
        if (line.kind === 'refused') throw new Error(line.refusal.kind);
        lines.push(line.result);
      }
      return lines;
    };
    return this.clock.until(read());
  }

  attemptsAt(item: string): readonly Attempt[] {
    return this.attempts.filter(attempt => attempt.item.item === item);
  }
}

class FakeRunner implements ItemRunner {
  private running = 0;

  constructor(
    private readonly fleet: FakeFleet,
    private readonly entry: string,
    private readonly member: FakeMember,
  ) {}

  freeCapacity(): number {
    return this.fleet.room - this.running;
  }

  onFreeCapacity(): Disposable {
    return {[Symbol.dispose]: () => {}};
  }

  async run(item: BatchItem, signal: AbortSignal): Promise<ItemOutcome> {
    const {clock, attempts} = this.fleet;
    const attempt: Attempt = {entry: this.entry, item, at: clock.now()};
    attempts.push(attempt);
    this.running++;
    const {outcome, afterMs} = this.fleet.script(attempt);
    const ended = new Promise<ItemOutcome>(resolve => {
      const end = (how: ItemOutcome) => {
        attempt.endedAt ??= clock.now();
        resolve(how);
      };
      clock.after(afterMs, () => end(outcome));
      signal.addEventListener('abort', () => {
        if (!this.fleet.letsGo) return;
        clock.after(ABORT_MS, () => end(lost(false)));
      });
    });
    const result = await this.member.host.hear(ended);
    this.running--;
    return result;
  }
}

export function lost(suspect: boolean): ItemOutcome {
  const message = 'the connection broke';
  const refusal = {kind: 'target-lost', message, ran: 'may-have-run'} as const;
  return {kind: 'lost', refusal, suspect};
}

export function items(
  count: number,
  idempotent: boolean | ((i: number) => boolean) = true,
): readonly JobItem[] {
  return [...Array(count).keys()].map(i => ({
    id: `item-${i}`,
    work: {
      kind: 'completion' as const,
      model: 'review-llm',
      input: {kind: 'prompt' as const, prompt: `review ${i}`},
      maxTokens: 16,
    },
    idempotent: typeof idempotent === 'boolean' ? idempotent : idempotent(i),
  }));
}

/** Long enough for any job of these tests, in milliseconds. */
export const NIGHT_MS = 600_000;

/**
 * @param ids - Of the entries.
 * @returns A fleet, and its entries, started.
 */
export function started(...ids: string[]) {
  return startedWith({}, ...ids);
}

/**
 * @param settings - Those that differ from the defaults.
 * @param ids - Of the entries.
 * @returns A fleet, and its entries, started.
 */
export function startedWith(
  settings: Partial<BatchSettings>,
  ...ids: string[]
) {
  const fleet = new FakeFleet(1, settings);
  return {fleet, entries: ids.map(id => fleet.start(id))};
}
