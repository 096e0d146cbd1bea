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
  decodeJson,
  encodeJson,
  type ExpectedRow,
  type RowPut,
  type RowStore,
  type VersionedRow,
} from '@oathead/stores';
import {
  HEAD_TABLE,
  headRef,
  JOB_HEAD,
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

/** Dependencies of a {@link HeadWriter}. */
export interface HeadWriterContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly random: Random;
}

/** Delay between attempts while the store does not respond, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Writes the head of one job. Writes must not overlap. */
export class HeadWriter {
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
   * Writes the head and retries until the store reports the outcome.
   *
   * Guards against lost responses: every attempt sends the same write and
   * expects the same version of the head, so at most one takes effect. A
   * conflict with a head that carries the nonce of this write means that an
   * earlier attempt succeeded.
   *
   * @param change - Changed fields of the head.
   * @param puts - Rows written in the same transaction.
   * @param basis - Other rows that must not have changed.
   * @returns Success once written; a failure means that ownership is lost or
   *   that the basis has changed.
   */
  async write(
    change: Partial<JobHead>,
    puts: readonly RowPut[],
    basis: readonly ExpectedRow[] = [],
  ): Promise<Outcome<void, OwnershipLost | BasisChanged>> {
    const {store, clock, random} = this.context;
    const nonce = random.id();
    const next: JobHead = {...this.current.head, ...change, nonce};
    const ref = headRef(next.id);
    const transaction = {
      expect: [{...ref, version: this.current.version}, ...basis],
      puts: [{...ref, value: encodeJson(next)}, ...puts],
      removes: [],
    };
    for (;;) {
      const written = await store.transact(transaction);
      if (written.ok) return this.adopt(next, written.value.version);
      if (written.err.kind === 'conflict')
        return this.resolveConflict(next, written.err.rows);
      if (this.signal.aborted) return failure(this.ownershipLost());
      await sleep(clock, RETRY_DELAY_MS, this.signal);
    }
  }

  private resolveConflict(
    next: JobHead,
    rows: readonly VersionedRow[],
  ): Outcome<void, OwnershipLost | BasisChanged> {
    const row = rows.find(
      ({table, key}) => table === HEAD_TABLE && key === next.id,
    );
    if (row?.version === this.current.version)
      return failure({kind: 'basis-changed'});
    const head = row && decodeJson(row.value, JOB_HEAD);
    if (row && head?.ok && head.value.nonce === next.nonce)
      return this.adopt(next, row.version);
    return failure(this.ownershipLost(head?.ok ? head.value : undefined));
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
