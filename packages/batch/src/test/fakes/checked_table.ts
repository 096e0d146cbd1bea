/** A table that objects to outcomes that change. */
import {MemoryTable} from '@oathead/platform';
import type {Row, Transaction} from '@oathead/platform';
import {chunkOf} from '../../lib/request/job_rows.js';

const FINAL = 'dfcu';

/** Remembers each write that took an outcome back or changed it. */
export class CheckedTable extends MemoryTable {
  readonly violations: string[] = [];

  override async write(transaction: Transaction) {
    const keys = transaction.writes.map(({key}) => key);
    const before = await this.read(keys);
    const outcome = await super.write(transaction);
    const after = await this.read(keys);
    if (!outcome.ok || !before.ok || !after.ok) return outcome;
    for (const [i, key] of keys.entries()) {
      if (!key.startsWith('chunk/')) continue;
      this.compare(key, before.value[i], after.value[i]);
    }
    return outcome;
  }

  private compare(key: string, before?: Row, after?: Row): void {
    if (before === undefined) return;
    const was = chunkOf(before);
    const is = after && chunkOf(after);
    const changed = [...was.states].some(
      (state, i) => FINAL.includes(state) && is?.states[i] !== state,
    );
    const lost = was.objects.some(object => !is?.objects.includes(object));
    if (changed || lost) this.violations.push(`${key}: ${was.states}`);
  }
}
