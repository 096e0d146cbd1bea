/** A table that objects to records that no holder of a share may write. */
import {hash32} from '@oathead/core';
import {MemoryTable} from '@oathead/stores';
import type {ObjectStore, Row, Transaction} from '@oathead/stores';
import {
  shareKey,
  shareOwnerOf,
} from '../../../../membership/dist/lib/process/lease_row.js';
import type {StoredOutcome} from '../../lib/process/chunk_work.js';
import {getJson} from '../../lib/request/job_content.js';
import {chunkOf} from '../../lib/request/job_rows.js';

const FINAL = 'dfcu';
const ANSWERED = 'df';

/** Remembers each chunk that was written as it must not be. */
export class CheckedTable extends MemoryTable {
  readonly violations: string[] = [];

  constructor(
    private readonly objects: ObjectStore,
    private readonly shareCount: number,
  ) {
    super();
  }

  override async write(transaction: Transaction) {
    const chunks = transaction.writes.filter(w => w.key.startsWith('chunk/'));
    const keys = chunks.map(({key}) => key);
    const shares = keys.map(key => shareKey(hash32(key) % this.shareCount));
    const before = await this.read([...keys, ...shares]);
    const outcome = await super.write(transaction);
    const after = await this.read(keys);
    if (!outcome.ok || !before.ok || !after.ok) return outcome;
    for (const [i, key] of keys.entries()) {
      const row = after.value[i]!;
      this.checkKept(key, before.value[i], row);
      this.checkHolder(key, before.value[keys.length + i]!, row);
      await this.checkOutcomes(key, row);
    }
    return outcome;
  }

  /** An outcome that stands is not changed. */
  private checkKept(key: string, before: Row | undefined, after: Row): void {
    if (before === undefined) return;
    const was = chunkOf(before);
    const is = chunkOf(after);
    const changed = [...was.states].some(
      (state, i) => FINAL.includes(state) && is.states[i] !== state,
    );
    if (changed) this.violations.push(`${key} changed ${was.states}`);
  }

  /** Only who holds the share now writes about it. */
  private checkHolder(key: string, share: Row, after: Row): void {
    const {epoch} = chunkOf(after);
    const now = shareOwnerOf(share).epoch;
    if (epoch !== now) {
      this.violations.push(`${key} of epoch ${now} written by ${epoch}`);
    }
  }

  /** What is recorded as answered has its answer, and has it once. */
  private async checkOutcomes(key: string, after: Row): Promise<void> {
    const {states, objects} = chunkOf(after);
    const reads = objects.map(o => getJson<StoredOutcome[]>(this.objects, o));
    const stored = (await Promise.all(reads)).flatMap(read =>
      read.ok ? read.value! : [],
    );
    const indexes = stored.map(({index}) => index);
    const twice = new Set(indexes).size < indexes.length;
    const missing = [...states].some(
      (state, i) => ANSWERED.includes(state) && !indexes.includes(i),
    );
    if (twice || missing) {
      this.violations.push(`${key} ${states} with outcomes ${indexes}`);
    }
  }
}
