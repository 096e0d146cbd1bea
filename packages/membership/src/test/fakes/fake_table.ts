/** The table service in memory, and what one host sees of it. */
import {failure, sleep, success} from '@oathead/core';
import type {Clock, Outcome, Random} from '@oathead/core';
import type {
  Committed,
  ListOptions,
  ObjectStore,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from '@oathead/platform';
import type {FakeHost} from './virtual_clock.js';

type Result<T> = Outcome<T, StoreError>;

export class FakeTable implements TableStore {
  readonly rows = new Map<string, Row>();
  readonly log: Transaction[] = [];
  private version = 0;

  async read(keys: readonly string[]) {
    return success(keys.map(key => this.rows.get(key)));
  }

  async list(prefix: string, {after = '', limit = 1_000}: ListOptions = {}) {
    const keys = [...this.rows.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    return success(keys.slice(0, limit).map(key => this.rows.get(key)!));
  }

  async write(transaction: Transaction): Promise<Result<Committed>> {
    for (const {key, version} of transaction.checks) {
      const now = this.rows.get(key)?.version ?? 0;
      if (now !== version) {
        return failure({kind: 'conflict', key, version: now});
      }
    }
    const versions: Record<string, number> = {};
    for (const write of transaction.writes) {
      const {key} = write;
      if (write.kind === 'delete') this.rows.delete(key);
      else {
        versions[key] = ++this.version;
        const value = JSON.parse(JSON.stringify(write.value));
        this.rows.set(key, {key, value, version: this.version});
      }
    }
    this.log.push(transaction);
    return success({versions});
  }
}

export class FakeObjects implements ObjectStore {
  readonly objects = new Map<string, Uint8Array>();

  async put(key: string, bytes: Uint8Array) {
    this.objects.set(key, bytes);
    return success(undefined);
  }

  async get(key: string) {
    return success(this.objects.get(key));
  }

  async delete(key: string) {
    this.objects.delete(key);
    return success(undefined);
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
  writes = 0;

  constructor(
    private readonly host: FakeHost,
    private readonly world: Clock,
    private readonly random: Random,
    private readonly table: FakeTable,
    private readonly objects: FakeObjects,
    private readonly faults: Faults,
  ) {}

  read(keys: readonly string[]) {
    this.reads++;
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
    return this.faults.down ? this.silence('no') : ask();
  }

  private async changed<T>(
    change: () => Promise<Result<T>>,
  ): Promise<Result<T>> {
    await sleep(this.world, LATENCY_MS);
    const {down, writesDown, lateWrites, lostAnswers} = this.faults;
    if (down || writesDown) return this.silence('no');
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
