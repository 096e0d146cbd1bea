/** The platform's services behind fault switches. */
import type {Outcome} from '@oathead/core';
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
  WeightInfo,
  WeightStore,
} from '@oathead/stores';
import type {StoreFaults} from './store_faults.js';

/** A table behind fault switches. */
export class FaultyTable implements TableStore {
  /**
   * @param table - The table itself.
   * @param faults - The switches.
   */
  constructor(
    private readonly table: TableStore,
    private readonly faults: StoreFaults,
  ) {}

  read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    const call = {store: 'table', method: 'read', keys, writes: false} as const;
    return this.faults.apply(call, () => this.table.read(keys));
  }

  list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Outcome<readonly Row[], StoreError>> {
    const keys = [prefix];
    const call = {store: 'table', method: 'list', keys, writes: false} as const;
    return this.faults.apply(call, () => this.table.list(prefix, options));
  }

  write(
    transaction: Transaction,
  ): Promise<Outcome<TransactionResult, StoreError>> {
    const keys = transaction.writes.map(write => write.key);
    const call = {store: 'table', method: 'write', keys, writes: true} as const;
    return this.faults.apply(call, () => this.table.write(transaction));
  }
}

/** An object store behind fault switches. */
export class FaultyObjects implements ObjectStore {
  /**
   * @param objects - The store itself.
   * @param faults - The switches.
   */
  constructor(
    private readonly objects: ObjectStore,
    private readonly faults: StoreFaults,
  ) {}

  put(key: string, bytes: Uint8Array): Promise<Outcome<void, StoreError>> {
    const call = this.call('put', key, true);
    return this.faults.apply(call, () => this.objects.put(key, bytes));
  }

  get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>> {
    const call = this.call('get', key, false);
    return this.faults.apply(call, () => this.objects.get(key));
  }

  delete(key: string): Promise<Outcome<void, StoreError>> {
    const call = this.call('delete', key, true);
    return this.faults.apply(call, () => this.objects.delete(key));
  }

  private call(method: 'put' | 'get' | 'delete', key: string, writes: boolean) {
    return {store: 'objects', method, keys: [key], writes} as const;
  }
}

/** A weight store behind fault switches. */
export class FaultyWeights implements WeightStore {
  /**
   * @param weights - The store itself.
   * @param faults - The switches.
   */
  constructor(
    private readonly weights: WeightStore,
    private readonly faults: StoreFaults,
  ) {}

  describe(name: string): Promise<Outcome<WeightInfo | undefined, StoreError>> {
    const call = this.call('describe', [name]);
    return this.faults.apply(call, () => this.weights.describe(name));
  }

  concurrentLoads(): Promise<Outcome<number, StoreError>> {
    const call = this.call('concurrentLoads', []);
    return this.faults.apply(call, () => this.weights.concurrentLoads());
  }

  private call(
    method: 'describe' | 'concurrentLoads',
    keys: readonly string[],
  ) {
    return {store: 'weights', method, keys, writes: false} as const;
  }
}

/** A host list behind fault switches. */
export class FaultyHosts implements HostList {
  /**
   * @param list - The list itself.
   * @param faults - The switches.
   */
  constructor(
    private readonly list: HostList,
    private readonly faults: StoreFaults,
  ) {}

  hosts(): Promise<Outcome<readonly Host[], StoreError>> {
    const call = {
      store: 'hosts',
      method: 'hosts',
      keys: [],
      writes: false,
    } as const;
    return this.faults.apply(call, () => this.list.hosts());
  }
}

/**
 * @param platform - The services themselves.
 * @param faults - The switches, one set for all four.
 * @returns The services behind the switches.
 */
export function faultyPlatform(
  platform: Platform,
  faults: StoreFaults,
): Platform {
  return {
    table: new FaultyTable(platform.table, faults),
    objects: new FaultyObjects(platform.objects, faults),
    weights: new FaultyWeights(platform.weights, faults),
    hosts: new FaultyHosts(platform.hosts, faults),
  };
}
