/** A platform that counts what is asked of it, by the kind of row. */
import type {Outcome} from '@oathead/core';
import {MemoryPlatform} from '@oathead/stores';
import type {
  TransactionResult,
  Host,
  HostList,
  ListOptions,
  ObjectStore,
  Platform,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from '@oathead/stores';

/** Calls to a store, and what they carried. */
export interface StoreUse {
  readonly calls: number;
  readonly rows: number;
  readonly bytes: number;
}

/** What a store was asked, by `read head`, `write share`, `put answers`, … */
export type StoreUses = ReadonlyMap<string, StoreUse>;

const NO_USE: StoreUse = {calls: 0, rows: 0, bytes: 0};

/** Counts calls to the stores. */
export class UseCounter {
  private readonly uses = new Map<string, StoreUse>();

  /**
   * @param verb - What was done.
   * @param key - The row or object that tells what for.
   * @param rows - How many rows it touched.
   * @param bytes - How much it carried.
   */
  count(verb: string, key: string, rows: number, bytes: number): void {
    const name = `${verb} ${key.split('/')[0]}`;
    const before = this.uses.get(name) ?? NO_USE;
    this.uses.set(name, {
      calls: before.calls + 1,
      rows: before.rows + rows,
      bytes: before.bytes + bytes,
    });
  }

  /** @returns What was counted since the last time this was asked. */
  take(): StoreUses {
    const taken = new Map(this.uses);
    this.uses.clear();
    return taken;
  }
}

/**
 * @param uses - What was counted.
 * @param verbs - Such as `read` and `list`.
 * @returns All calls of these verbs.
 */
export function callsOf(uses: StoreUses, ...verbs: readonly string[]): number {
  let calls = 0;
  for (const [name, use] of uses) {
    if (verbs.includes(name.split(' ')[0]!)) calls += use.calls;
  }
  return calls;
}

/** A table that counts. */
export class CountingTable implements TableStore {
  /**
   * @param table - What does the work.
   * @param counter - Counts.
   */
  constructor(
    private readonly table: TableStore,
    private readonly counter: UseCounter,
  ) {}

  async read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    const outcome = await this.table.read(keys);
    const bytes = outcome.ok ? sizeOf(outcome.value) : 0;
    this.counter.count('read', keys[0] ?? '', keys.length, bytes);
    return outcome;
  }

  async list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Outcome<readonly Row[], StoreError>> {
    const outcome = await this.table.list(prefix, options);
    const rows = outcome.ok ? outcome.value : [];
    this.counter.count('list', prefix, rows.length, sizeOf(rows));
    return outcome;
  }

  /** Named for its first row: the marker of what it is for. */
  write(
    transaction: Transaction,
  ): Promise<Outcome<TransactionResult, StoreError>> {
    const {writes} = transaction;
    const key = writes[0]?.key ?? '';
    this.counter.count('write', key, writes.length, sizeOf(writes));
    return this.table.write(transaction);
  }
}

/** Objects that count. */
export class CountingObjects implements ObjectStore {
  /**
   * @param objects - What does the work.
   * @param counter - Counts.
   */
  constructor(
    private readonly objects: ObjectStore,
    private readonly counter: UseCounter,
  ) {}

  put(key: string, bytes: Uint8Array): Promise<Outcome<void, StoreError>> {
    this.counter.count('put', key, 1, bytes.length);
    return this.objects.put(key, bytes);
  }

  async get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>> {
    const outcome = await this.objects.get(key);
    const bytes = outcome.ok ? (outcome.value?.length ?? 0) : 0;
    this.counter.count('get', key, 1, bytes);
    return outcome;
  }

  delete(key: string): Promise<Outcome<void, StoreError>> {
    this.counter.count('delete', key, 1, 0);
    return this.objects.delete(key);
  }
}

/**
 * @param counter - Counts.
 * @param memory - What does the work.
 * @returns A platform in memory that counts.
 */
export function countingPlatform(
  counter: UseCounter,
  memory = new MemoryPlatform(),
): Platform {
  const {table, objects, weights, hosts} = memory;
  return {
    table: new CountingTable(table, counter),
    objects: new CountingObjects(objects, counter),
    weights,
    hosts: countingHosts(hosts, counter),
  };
}

function countingHosts(hosts: HostList, counter: UseCounter): HostList {
  return {
    hosts: (): Promise<Outcome<readonly Host[], StoreError>> => {
      counter.count('hosts', 'hosts', 1, 0);
      return hosts.hosts();
    },
  };
}

function sizeOf(value: unknown): number {
  return JSON.stringify(value).length;
}
