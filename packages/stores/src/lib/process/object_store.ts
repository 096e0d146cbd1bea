/** The platform's object store: whole values by key, for what is too large for rows. */
import type {Outcome} from '@oathead/core';
import type {StoreError} from './table_store.js';

/** The object store. */
export interface ObjectStore {
  /** Writes a whole object; writing the same bytes again changes nothing. */
  put(key: string, bytes: Uint8Array): Promise<Outcome<void, StoreError>>;
  /** @returns The object, or undefined where there is none. */
  get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>>;
  /** Deleting what is not there changes nothing. */
  delete(key: string): Promise<Outcome<void, StoreError>>;
}
