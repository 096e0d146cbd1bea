/** A table that lets something happen in the middle of a call. */
import type {TableStore} from '@oathead/stores';

export class HookedTable implements TableStore {
  /** Called once, before the next write. */
  beforeWrite: (() => Promise<unknown>) | undefined;
  /** Called once, after the next page of a listing. */
  afterList: (() => Promise<unknown>) | undefined;
  readonly read: TableStore['read'];

  constructor(private readonly table: TableStore) {
    this.read = keys => table.read(keys);
  }

  list: TableStore['list'] = async (prefix, options) => {
    const page = await this.table.list(prefix, options);
    const hook = this.afterList;
    this.afterList = undefined;
    await hook?.();
    return page;
  };

  write: TableStore['write'] = async transaction => {
    const hook = this.beforeWrite;
    this.beforeWrite = undefined;
    await hook?.();
    return this.table.write(transaction);
  };
}
