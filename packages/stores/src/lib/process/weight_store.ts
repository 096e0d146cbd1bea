/** The platform's store of weights: large, and limited in rate for the whole fleet. */
import type {Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';

/** What the store tells about a set of weights. */
export interface WeightInfo {
  readonly name: string;
  readonly bytes: number;
}

/** The weight store. */
export interface WeightStore {
  /** @returns What is stored under a name, or undefined. */
  describe(name: string): Promise<Outcome<WeightInfo | undefined, StoreError>>;
  /** Loads that the store can bear at once, over the whole fleet. */
  concurrentLoads(): Promise<Outcome<number, StoreError>>;
}
