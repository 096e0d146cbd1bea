/** Writes a new owner into the head of a job that this host does not process. */
import {failure, success, type Outcome, type Random} from '@oathead/core';
import {encodeJson, type RowStore, type RowStoreError} from '@oathead/stores';
import {headRef, type VersionedHead} from '../request/job_rows.js';

/** Dependencies of {@link writeOwner}. */
export interface OwnerWriteContext {
  readonly store: RowStore;
  readonly random: Random;
}

/**
 * Writes a new owner once.
 *
 * @param context - Store and randomness.
 * @param found - The head to change; the write expects its version.
 * @param owner - Member ID of the new owner; empty for none.
 * @returns The head as written, or why the store did not confirm it.
 */
export async function writeOwner(
  {store, random}: OwnerWriteContext,
  {head, version}: VersionedHead,
  owner: string,
): Promise<Outcome<VersionedHead, RowStoreError>> {
  const next = {...head, owner, nonce: random.id()};
  const ref = headRef(head.id);
  const written = await store.transact({
    expect: [{...ref, version}],
    puts: [{...ref, value: encodeJson(next)}],
    removes: [],
  });
  if (!written.ok) return failure(written.err);
  return success({head: next, version: written.value.version});
}
