/**
 * Interface to the platform's store of model weights. Weights are large, and the
 * number of concurrent loads is limited for the whole fleet.
 */
import type {Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';

/** Metadata of a set of weights. */
export interface WeightInfo {
  readonly name: string;
  readonly bytes: number;
}

/** Client of the weight store. */
export interface WeightStore {
  /** @returns The metadata of the named weights, or undefined if unknown. */
  describe(name: string): Promise<Outcome<WeightInfo | undefined, StoreError>>;
  /** @returns Number of concurrent loads that the store allows, fleet-wide. */
  concurrentLoads(): Promise<Outcome<number, StoreError>>;
}
