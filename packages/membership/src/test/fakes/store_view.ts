/** The stores in memory, and what one host sees of them. */
import {failure, sleep} from '@oathead/core';
import type {Clock, Outcome, Random} from '@oathead/core';
import {MemoryTable} from '@oathead/platform';
import type {
  ListOptions,
  ObjectStore,
  MemoryObjects,
  StoreError,
  TableStore,
  Transaction,
} from '@oathead/platform';
import type {FakeHost} from './virtual_clock.js';

type Result<T> = Outcome<T, StoreError>;

/** A table that remembers what was written. */
export class LoggedTable extends MemoryTable {
  readonly log: Transaction[] = [];

  override async write(transaction: Transaction) {
    const outcome = await super.write(transaction);
    if (outcome.ok) this.log.push(transaction);
    return outcome;
  }
}

export interface Faults {
  down: boolean;
  /** Reads go on while writes fail. */
  writesDown: boolean;
  /** Share of writes that take effect while their answer is lost. */
  lostAnswers: number;
  /** Share of writes that take effect only after their answer was lost. */
  lateWrites: number;
}

export const NO_FAULTS: Faults = {
  down: false,
  writesDown: false,
  lostAnswers: 0,
  lateWrites: 0,
};

const LATENCY_MS = 2;
const TIMEOUT_MS = 1_000;
const LATE_MS = 1_500;

/** What one host sees of the stores. */
export class StoreView implements TableStore, ObjectStore {
  reads = 0;
  rowsRead = 0;
  writes = 0;

  constructor(
    private readonly host: FakeHost,
    private readonly world: Clock,
    private readonly random: Random,
    private readonly table: LoggedTable,
    private readonly objects: MemoryObjects,
    /** Those of the store, and those of the way to it. */
    private readonly faults: readonly Faults[],
  ) {}

  read(keys: readonly string[]) {
    this.reads++;
    this.rowsRead += keys.length;
    return this.host.hear(this.asked(() => this.table.read(keys)));
  }

  list(prefix: string, options?: ListOptions) {
    this.reads++;
    return this.host.hear(this.asked(() => this.table.list(prefix, options)));
  }

  write(transaction: Transaction) {
    this.writes++;
    return this.host.hear(this.changed(() => this.table.write(transaction)));
  }

  put(key: string, bytes: Uint8Array) {
    this.writes++;
    return this.host.hear(this.changed(() => this.objects.put(key, bytes)));
  }

  get(key: string) {
    this.reads++;
    return this.host.hear(this.asked(() => this.objects.get(key)));
  }

  delete(key: string) {
    this.writes++;
    return this.host.hear(this.changed(() => this.objects.delete(key)));
  }

  private async asked<T>(ask: () => Promise<Result<T>>): Promise<Result<T>> {
    await sleep(this.world, LATENCY_MS);
    const down = this.faults.some(faults => faults.down);
    return down ? this.silence('no') : ask();
  }

  private async changed<T>(
    change: () => Promise<Result<T>>,
  ): Promise<Result<T>> {
    await sleep(this.world, LATENCY_MS);
    const down = this.faults.some(faults => faults.down || faults.writesDown);
    if (down) return this.silence('no');
    const lateWrites = Math.max(...this.faults.map(f => f.lateWrites));
    const lostAnswers = Math.max(...this.faults.map(f => f.lostAnswers));
    const draw = this.random.float();
    if (draw < lateWrites) {
      this.world.after(LATE_MS, () => void change());
      return this.silence('unknown');
    }
    const result = await change();
    const lost = draw < lateWrites + lostAnswers;
    return lost && result.ok ? this.silence('unknown') : result;
  }

  private async silence(
    applied: 'no' | 'unknown',
  ): Promise<{readonly ok: false; readonly err: StoreError}> {
    await sleep(this.world, TIMEOUT_MS);
    return failure({kind: 'unavailable', applied, message: 'no answer'});
  }
}
