/** Entries over one table, in virtual time. */
import {NO_COUNTERS, hash32, seededRandom} from '@oathead/core';
import type {BatchItem, ItemOutcome, ItemRunner} from '@oathead/core';
import {LeasedMembership, MEMBERSHIP_DEFAULTS} from '@oathead/membership';
import type {MembershipSettings} from '@oathead/membership';
import {MemoryObjects} from '@oathead/platform';
import {
  LoggedTable,
  NO_FAULTS,
  StoreView,
} from '../../../../membership/dist/test/fakes/store_view.js';
import type {Faults} from '../../../../membership/dist/test/fakes/store_view.js';
import {
  FakeHost,
  virtualClock,
} from '../../../../membership/dist/test/fakes/virtual_clock.js';
import {BatchJobs} from '../../lib/process/batch_jobs.js';
import type {BatchSettings} from '../../lib/process/batch_settings.js';
import type {JobItem} from '../../lib/request/job.js';

/** One attempt at an item, as the targets saw it. */
export interface Attempt {
  readonly entry: string;
  readonly item: BatchItem;
  readonly at: number;
  endedAt?: number;
}

/** Decides what becomes of an attempt. */
export type Script = (
  item: BatchItem,
  attempt: Attempt,
) => {readonly outcome: ItemOutcome; readonly afterMs: number};

export const answered: ItemOutcome = {
  kind: 'done',
  answer: {kind: 'response', status: 200, body: 'ok'},
};

const ABORT_MS = 5;

export class FakeFleet {
  readonly clock = virtualClock();
  readonly table = new LoggedTable();
  readonly objects = new MemoryObjects();
  readonly faults: Faults = {...NO_FAULTS};
  readonly attempts: Attempt[] = [];
  readonly entries = new Map<string, FakeEntry>();
  script: Script = () => ({outcome: answered, afterMs: 100});
  room = 8;

  constructor(
    readonly seed = 1,
    readonly batch: Partial<BatchSettings> = {},
    readonly membership: Partial<MembershipSettings> = {},
  ) {}

  start(id: string): FakeEntry {
    const entry = new FakeEntry(this, id);
    this.entries.set(id, entry);
    return entry;
  }

  async until(done: () => boolean | Promise<boolean>, limitMs: number) {
    for (let passed = 0; passed < limitMs; passed += 500) {
      if (await done()) return true;
      await this.clock.pass(500);
    }
    return false;
  }
}

export class FakeEntry {
  readonly host: FakeHost;
  readonly store: StoreView;
  readonly members: LeasedMembership;
  readonly jobs: BatchJobs;

  constructor(
    private readonly fleet: FakeFleet,
    readonly id: string,
  ) {
    const {clock: world, table, objects, faults, seed} = fleet;
    const random = seededRandom(seed ^ hash32(id));
    this.host = new FakeHost(world);
    this.store = new StoreView(
      this.host,
      world,
      seededRandom(hash32(`${seed}/${id}`)),
      table,
      objects,
      faults,
    );
    const deps = {
      clock: this.host.clock,
      random,
      counters: NO_COUNTERS,
      table: this.store,
      objects: this.store,
    };
    const settings = {
      ...MEMBERSHIP_DEFAULTS,
      ...fleet.membership,
      entryId: id,
      address: `${id}:1`,
      dataCentre: 'hall-a',
    };
    this.members = new LeasedMembership(deps, settings);
    const batchDeps = {
      ...deps,
      membership: this.members,
      runner: new FakeRunner(fleet, this),
    };
    this.jobs = new BatchJobs(batchDeps, fleet.batch);
    this.members.start();
  }

  kill(): void {
    this.host.kill();
  }
}

class FakeRunner implements ItemRunner {
  private running = 0;

  constructor(
    private readonly fleet: FakeFleet,
    private readonly entry: FakeEntry,
  ) {}

  room(): number {
    return this.fleet.room - this.running;
  }

  onRoom(): Disposable {
    return {[Symbol.dispose]: () => {}};
  }

  async run(item: BatchItem, signal: AbortSignal): Promise<ItemOutcome> {
    const {clock, attempts} = this.fleet;
    const attempt: Attempt = {entry: this.entry.id, item, at: clock.now()};
    attempts.push(attempt);
    this.running++;
    const {outcome, afterMs} = this.fleet.script(item, attempt);
    const ended = new Promise<ItemOutcome>(resolve => {
      clock.after(afterMs, () => resolve(outcome));
      signal.addEventListener('abort', () => {
        const kind = item.idempotent ? 'returned' : 'lost';
        const refusal = {
          kind: 'cancelled',
          message: '',
          ran: 'may-have-run',
        } as const;
        const given: ItemOutcome =
          kind === 'returned'
            ? {kind}
            : {kind: 'lost', refusal, suspect: false};
        clock.after(ABORT_MS, () => resolve(given));
      });
    });
    const result = await this.entry.host.hear(ended);
    attempt.endedAt = clock.now();
    this.running--;
    return result;
  }
}

export function items(count: number, idempotent = true): readonly JobItem[] {
  return [...Array(count).keys()].map(i => ({
    id: `item-${i}`,
    work: {
      kind: 'completion' as const,
      model: 'review-llm',
      input: {kind: 'prompt' as const, prompt: `review ${i}`},
      maxTokens: 16,
    },
    idempotent,
  }));
}
