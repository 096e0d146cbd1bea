/** In-memory weight store that holds only metadata, no weights. */
import {success, type Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';
import type {WeightInfo, WeightStore} from './weight_store.js';

const DEFAULT_CONCURRENT_LOADS = 4;

/** A {@link WeightStore} with fixed contents. */
export class MemoryWeights implements WeightStore {
  private readonly infos: ReadonlyMap<string, WeightInfo>;

  /**
   * @param weights - Metadata of the stored weights.
   * @param maxConcurrentLoads - Number of concurrent loads that the store allows.
   */
  constructor(
    weights: readonly WeightInfo[] = [],
    private readonly maxConcurrentLoads: number = DEFAULT_CONCURRENT_LOADS,
  ) {
    this.infos = new Map(weights.map(info => [info.name, info]));
  }

  async describe(
    name: string,
  ): Promise<Outcome<WeightInfo | undefined, StoreError>> {
    return success(this.infos.get(name));
  }

  async concurrentLoads(): Promise<Outcome<number, StoreError>> {
    return success(this.maxConcurrentLoads);
  }
}
