/**
 * Writes a job's head, together with results, on behalf of the job's owner.
 * Each write expects the head version of the previous write. The owner is
 * therefore fenced as soon as anyone else writes the head: a caller that
 * cancels the job or a host that takes it over.
 */
import {
  failure,
  sleep,
  success,
  type Clock,
  type Outcome,
  type Random,
} from '@oathead/core';
import {
  encodeJson,
  type ExpectedRow,
  type RowPut,
  type RowStore,
  type VersionedRow,
} from '@oathead/stores';
import type {StoreLimits} from '../request/job_content.js';
import {
  headIn,
  headRef,
  type JobHead,
  type VersionedHead,
} from '../request/job_rows.js';

/** Error of a write that was fenced: this host no longer owns the job. */
export interface OwnershipLost {
  readonly kind: 'ownership-lost';
  readonly state: JobHead['state'] | 'gone';
  readonly owner: string;
}

/**
 * Error of a write that was based on a row that has changed. This host still
 * owns the job, and the write can no longer take effect.
 */
export interface BasisChanged {
  readonly kind: 'basis-changed';
}

/**
 * Error of a write that was based on a row whose state the store did not check.
 * This host still owns the job, and the write can no longer take effect.
 */
export interface BasisUnchecked {
  readonly kind: 'basis-unchecked';
}

/** Error of a write of a head. */
export type HeadWriteError = OwnershipLost | BasisChanged | BasisUnchecked;

/** Dependencies of a {@link HeadWriter}. */
export interface HeadWriterContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: Pick<StoreLimits, 'acrossPartitions'>;
}

/** Delay between attempts while the store does not respond, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Writes the head of one job. Writes must not overlap. */
export class HeadWriter {
  /** The head with which the last write conflicted. */
  private foreign: VersionedHead | undefined;
  /** Whether the last write has found no head. */
  private isGone = false;

  /**
   * @param context - Store, clock and randomness.
   * @param current - Head that makes this host the owner.
   * @param signal - Aborted when the owner stops.
   */
  constructor(
    private readonly context: HeadWriterContext,
    private current: VersionedHead,
    private readonly signal: AbortSignal,
  ) {}

  /** The head after the last successful write. */
  get head(): JobHead {
    return this.current.head;
  }

  /**
   * The newest head that is known to be stored, whichever host wrote it;
   * undefined if the last write has found none.
   */
  get newest(): VersionedHead | undefined {
    const {foreign, current} = this;
    if (this.isGone) return undefined;
    return foreign && foreign.version > current.version ? foreign : current;
  }

  /**
   * Writes the head and retries until the store reports the outcome.
   *
   * Guards against lost responses: every attempt sends the same write and
   * expects the same version of the head, so at most one takes effect. A
   * conflict with a head that carries the nonce of this write means that an
   * earlier attempt succeeded.
   *
   * A write with a basis is not retried if the store refuses it. Guards against
   * results that wait for ever: the store, or another host that forwards the
   * call, may refuse each transaction over several partitions.
   *
   * @param change - Changed fields of the head.
   * @param puts - Rows written in the same transaction.
   * @param basis - Other rows that must not have changed.
   * @returns Success once written; a failure means that ownership is lost or
   *   that the basis has changed or was not checked.
   */
  async write(
    change: Partial<JobHead>,
    puts: readonly RowPut[],
    basis: readonly ExpectedRow[] = [],
  ): Promise<Outcome<void, HeadWriteError>> {
    const {store, clock, random, limits} = this.context;
    const expectsBasis = basis.length > 0 && limits.acrossPartitions;
    if (!expectsBasis) {
      const error = await this.basisError(basis);
      if (error) return failure(error);
    }
    const nonce = random.id();
    const next: JobHead = {...this.current.head, ...change, nonce};
    const ref = headRef(next.id);
    const transaction = {
      expect: [
        {...ref, version: this.current.version},
        ...(expectsBasis ? basis : []),
      ],
      puts: [{...ref, value: encodeJson(next)}, ...puts],
      removes: [],
    };
    for (let hadNoEffect = true; ;) {
      const written = await store.transact(transaction);
      if (written.ok) return this.adopt(next, written.value.version);
      if (written.err.kind === 'conflict')
        return this.resolveConflict(next, written.err.rows);
      hadNoEffect &&= written.err.kind === 'refused';
      if (expectsBasis && hadNoEffect)
        return failure({kind: 'basis-unchecked'});
      if (this.signal.aborted) return failure(this.ownershipLost());
      await sleep(clock, RETRY_DELAY_MS, this.signal);
    }
  }

  /**
   * Reads the basis of a write, right before it, from a store that cannot check
   * it with the write.
   */
  private async basisError(
    basis: readonly ExpectedRow[],
  ): Promise<BasisChanged | BasisUnchecked | undefined> {
    for (const {table, partition, key, version} of basis) {
      const to = `${key}\0`;
      const query = {table, partition, from: key, to};
      const page = await this.context.store.read(query);
      if (!page.ok || page.value.version < this.current.version)
        return {kind: 'basis-unchecked'};
      if (page.value.rows[0]?.version !== version)
        return {kind: 'basis-changed'};
    }
    return undefined;
  }

  private resolveConflict(
    next: JobHead,
    rows: readonly VersionedRow[],
  ): Outcome<void, HeadWriteError> {
    const found = headIn(rows, next.id);
    if (found?.version === this.current.version)
      return failure({kind: 'basis-changed'});
    if (found?.head.nonce === next.nonce)
      return this.adopt(next, found.version);
    this.foreign = found;
    this.isGone = !found;
    return failure(this.ownershipLost(found?.head));
  }

  private adopt(head: JobHead, version: number): Outcome<void, never> {
    this.current = {head, version};
    return success(undefined);
  }

  private ownershipLost(head?: JobHead): OwnershipLost {
    return {
      kind: 'ownership-lost',
      state: head?.state ?? 'gone',
      owner: head?.owner ?? '',
    };
  }
}
