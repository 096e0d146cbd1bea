/** The weight store in memory: only what it tells, no weights. */
import {success, type Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';
import type {WeightInfo, WeightStore} from './weight_store.js';

const DEFAULT_CONCURRENT_LOADS = 4;

/** A list of weights. */
export class MemoryWeights implements WeightStore {
  private readonly infos: ReadonlyMap<string, WeightInfo>;

  /**
   * @param weights - What is stored.
   * @param loads - Loads that the store can bear at once.
   */
  constructor(
    weights: readonly WeightInfo[] = [],
    private readonly loads: number = DEFAULT_CONCURRENT_LOADS,
  ) {
    this.infos = new Map(weights.map(info => [info.name, info]));
  }

  async describe(
    name: string,
  ): Promise<Outcome<WeightInfo | undefined, StoreError>> {
    return success(this.infos.get(name));
  }

  async concurrentLoads(): Promise<Outcome<number, StoreError>> {
    return success(this.loads);
  }
}
