/** Writes a new owner into the head of a job that this host does not process. */
import {failure, success, type Outcome, type Random} from '@oathead/core';
import {encodeJson, type RowStore} from '@oathead/stores';
import {headIn, headRef, type VersionedHead} from '../request/job_rows.js';

/** Dependencies of {@link writeOwner}. */
export interface OwnerWriteContext {
  readonly store: RowStore;
  readonly random: Random;
}

/** Why a new owner may not be written. */
export interface OwnerWriteError {
  /** Kind of the store's error. */
  readonly kind: string;
  /** The head that the store has instead of the expected one, if it told. */
  readonly newest?: VersionedHead | undefined;
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
): Promise<Outcome<VersionedHead, OwnerWriteError>> {
  const next = {...head, owner, nonce: random.id()};
  const ref = headRef(head.id);
  const written = await store.transact({
    expect: [{...ref, version}],
    puts: [{...ref, value: encodeJson(next)}],
    removes: [],
  });
  if (written.ok) return success({head: next, version: written.value.version});
  const {err} = written;
  const newest =
    err.kind === 'conflict' ? headIn(err.rows, head.id) : undefined;
  return failure({kind: err.kind, newest});
}
