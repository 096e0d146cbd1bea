/** In-memory object store. */
import {success, type Outcome} from '@oathead/core';
import type {ObjectStore} from './object_store.js';
import type {StoreError} from './table_store.js';

/** An {@link ObjectStore} without persistence. Stores copies of the bytes. */
export class MemoryObjects implements ObjectStore {
  private readonly objects = new Map<string, Uint8Array>();

  async put(
    key: string,
    bytes: Uint8Array,
  ): Promise<Outcome<void, StoreError>> {
    this.objects.set(key, bytes.slice());
    return success(undefined);
  }

  async get(key: string): Promise<Outcome<Uint8Array | undefined, StoreError>> {
    return success(this.objects.get(key)?.slice());
  }

  async delete(key: string): Promise<Outcome<void, StoreError>> {
    this.objects.delete(key);
    return success(undefined);
  }
}
