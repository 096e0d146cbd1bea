/** A table in memory whose answers can be lost and which can be down. */
import {failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import type {
  Committed,
  ListOptions,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from '@oathead/platform';

const DOWN: StoreError = {kind: 'unavailable', applied: 'no', message: 'down'};
const LOST: StoreError = {
  kind: 'unavailable',
  applied: 'unknown',
  message: 'answer lost',
};

export class FakeTable implements TableStore {
  readonly rows = new Map<string, Row>();
  down = false;
  /** Answers to lose: the write happens, its writer is not told. */
  loseAnswers = 0;
  /** Called before each write, to let something happen in between. */
  beforeWrite: (() => void | Promise<void>) | undefined;
  /** Called after each page of a listing. */
  afterList: (() => void | Promise<void>) | undefined;
  reads = 0;
  writes = 0;
  private lastVersion = 0;

  async read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    this.reads++;
    if (this.down) return failure(DOWN);
    return success(keys.map(key => this.rows.get(key)));
  }

  async list(
    prefix: string,
    {after = '', limit = 1_000}: ListOptions = {},
  ): Promise<Outcome<readonly Row[], StoreError>> {
    this.reads++;
    if (this.down) return failure(DOWN);
    const keys = [...this.rows.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, limit).map(key => this.rows.get(key)!);
    await this.afterList?.();
    return success(page);
  }

  async write({
    checks,
    writes,
  }: Transaction): Promise<Outcome<Committed, StoreError>> {
    const hook = this.beforeWrite;
    this.beforeWrite = undefined;
    await hook?.();
    this.writes++;
    if (this.down) return failure(DOWN);
    for (const {key, version} of checks) {
      const now = this.rows.get(key)?.version ?? 0;
      if (now !== version) {
        return failure({kind: 'conflict', key, version: now});
      }
    }
    const versions: Record<string, number> = {};
    for (const write of writes) {
      if (write.kind === 'delete') this.rows.delete(write.key);
      else {
        const {key, value} = write;
        const version = ++this.lastVersion;
        this.rows.set(key, {key, value: structuredClone(value), version});
        versions[key] = version;
      }
    }
    if (this.loseAnswers > 0) {
      this.loseAnswers--;
      return failure(LOST);
    }
    return success({versions});
  }
}
