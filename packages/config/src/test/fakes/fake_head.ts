/** The polled head, with the polling left to the test. */
import type {Head} from '@oathead/membership';
import type {Json, TableStore} from '@oathead/platform';
import type {HeadSource} from '../../lib/process/config_cache.js';
import type {HeadRow} from '../../lib/process/config_rows.js';

const EMPTY: Head = {
  cfg: 0,
  jobs: 0,
  recentJobs: [],
  members: 0,
  suspects: 0,
};

export const HEAD_ROW: HeadRow = {
  key: 'head',
  decode: row => (row ? (row.value as unknown as Head) : EMPTY),
  encode: head => head as unknown as Json,
};

export class FakeHead implements HeadSource {
  private last = EMPTY;
  private readonly callbacks = new Set<(head: Head) => void>();

  constructor(private readonly table: TableStore) {}

  head(): Head {
    return this.last;
  }

  onHead(callback: (head: Head) => void): Disposable {
    this.callbacks.add(callback);
    return {[Symbol.dispose]: () => this.callbacks.delete(callback)};
  }

  async poll(): Promise<void> {
    const read = await this.table.read([HEAD_ROW.key]);
    if (!read.ok) return;
    const head = HEAD_ROW.decode(read.value[0]);
    if (head.cfg === this.last.cfg) return;
    this.last = head;
    for (const callback of this.callbacks) callback(head);
  }
}
