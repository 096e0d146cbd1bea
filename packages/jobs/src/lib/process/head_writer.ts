/**
 * Writes a job's head, and results with it, on behalf of its owner. Each write
 * expects the head as the last one left it: as soon as anyone else has written
 * it, the caller who ends the job or the host that takes it over, nothing more
 * of this owner's gets into the store.
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
  type RowPut,
  type RowStore,
  type VersionedRow,
} from '@oathead/stores';
import {
  headRef,
  JOB_HEAD,
  type JobHead,
  type VersionedHead,
} from '../request/job_rows.js';

/** Why a write came to nothing: the job is not this owner's any more. */
export interface OwnershipLost {
  readonly kind: 'ownership-lost';
  readonly state: JobHead['state'] | 'gone';
  readonly owner: string;
}

/** What a {@link HeadWriter} needs. */
export interface HeadWriterContext {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly random: Random;
}

/** Between two tries while the store gives no answer, in milliseconds. */
const RETRY_MS = 250;

/** Writes the head of one job. One write at a time. */
export class HeadWriter {
  /**
   * @param context - The store.
   * @param current - The head as this owner has it.
   * @param signal - Aborted when the owner stops.
   */
  constructor(
    private readonly context: HeadWriterContext,
    private current: VersionedHead,
    private readonly signal: AbortSignal,
  ) {}

  /** The head as the last write left it. */
  get head(): JobHead {
    return this.current.head;
  }

  /**
   * Writes until the store has said what became of it.
   *
   * Guards against lost answers: the same write is sent again, and since each
   * try expects the same version of the head, at most one takes effect. A
   * conflict with a head that carries this write's nonce is its success.
   *
   * @param change - What changes in the head.
   * @param puts - What is written with it.
   * @returns Whether it is written; a failure ends the ownership.
   */
  async write(
    change: Partial<JobHead>,
    puts: readonly RowPut[],
  ): Promise<Outcome<void, OwnershipLost>> {
    const {store, clock, random} = this.context;
    const nonce = random.id();
    const next: JobHead = {...this.current.head, ...change, nonce};
    const ref = headRef(next.id);
    const transaction = {
      expect: [{...ref, version: this.current.version}],
      puts: [{...ref, value: encodeJson(next)}, ...puts],
      removes: [],
    };
    for (;;) {
      const written = await store.transact(transaction);
      if (written.ok) return this.adopt(next, written.value.version);
      if (written.err.kind === 'conflict')
        return this.settle(next, written.err.rows);
      if (this.signal.aborted) return failure(this.lost());
      await sleep(clock, RETRY_MS, this.signal);
    }
  }

  private settle(
    next: JobHead,
    rows: readonly VersionedRow[],
  ): Outcome<void, OwnershipLost> {
    const row = rows.find(({key}) => key === next.id);
    const head = row && decodeJson(row.value, JOB_HEAD);
    if (row && head?.ok && head.value.nonce === next.nonce)
      return this.adopt(next, row.version);
    return failure(this.lost(head?.ok ? head.value : undefined));
  }

  private adopt(head: JobHead, version: number): Outcome<void, OwnershipLost> {
    this.current = {head, version};
    return success(undefined);
  }

  private lost(head?: JobHead): OwnershipLost {
    return {
      kind: 'ownership-lost',
      state: head?.state ?? 'gone',
      owner: head?.owner ?? '',
    };
  }
}
