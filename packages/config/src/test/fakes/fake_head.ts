/** The polled head, with the polling left to the test. */
import {EMPTY_HEAD, HEAD_ROW} from '@oathead/membership';
import type {Head} from '@oathead/membership';
import type {TableStore} from '@oathead/stores';
import type {HeadSource} from '../../lib/process/config_cache.js';

export class FakeHead implements HeadSource {
  private last = EMPTY_HEAD;
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
