/** The platform's object store, for values that are too large for table rows. */
import type {Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';

/** Stores whole objects by key. */
export interface ObjectStore {
  /** Writes a whole object. Idempotent for the same bytes. */
  put(key: string, bytes: Uint8Array): Promise<Outcome<void, StoreError>>;
  /** @returns The bytes of the object, or undefined if it does not exist. */
  get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>>;
  /** Deletes an object. Succeeds if it does not exist. */
  delete(key: string): Promise<Outcome<void, StoreError>>;
}
