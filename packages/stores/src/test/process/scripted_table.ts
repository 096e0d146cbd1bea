/** A table with scripted faults, for tests of writers. */
import {failure} from '@oathead/core';
import {MemoryTable} from '../../lib/process/memory_table.js';
import type {StoreError, Transaction} from '../../lib/process/table_store.js';

/** Fault injected into one call. */
export type Step =
  | 'fine'
  | 'refused'
  | 'throttled'
  /** Applied, but the response is lost. */
  | 'answer-lost'
  /** Never applied; the outcome is unknown to the writer. */
  | 'request-lost'
  /**
   * Applied when `deliverLate` is called; the outcome is unknown to the writer.
   */
  | 'late'
  /** Applied, then overwritten by another writer; the response is lost. */
  | 'overwritten'
  /** Another writer writes first; the write itself is never applied. */
  | 'forestalled';

const REFUSED = {kind: 'unavailable', applied: 'no', message: ''} as const;
const UNKNOWN = {kind: 'unavailable', applied: 'unknown', message: ''} as const;
const THROTTLED = {kind: 'throttled', retryAfterMs: 10} as const;

/** Consumes one step of the script for each call, then works without faults. */
export class ScriptedTable extends MemoryTable {
  /** Number of transactions of the tested writer that took effect. */
  applied = 0;
  calls = 0;
  readonly late: Transaction[] = [];

  /**
   * @param steps - The fault of each call, in order.
   * @param writeConcurrently - Performs a write of another writer.
   */
  constructor(
    private readonly steps: readonly Step[],
    readonly writeConcurrently: (table: MemoryTable) => Promise<void>,
  ) {
    super();
  }

  override async read(keys: readonly string[]) {
    const err = READ_ERRORS[this.nextStep()];
    return err ? failure(err) : super.read(keys);
  }

  override async write(transaction: Transaction) {
    const err = await WRITE_HANDLERS[this.nextStep()](this, transaction);
    return err ? failure(err) : this.commitTransaction(transaction);
  }

  /** Applies the delayed transactions. */
  async deliverLate(): Promise<void> {
    for (const transaction of this.late.splice(0))
      await this.commitTransaction(transaction);
  }

  /** Writes without consuming a step of the script. */
  writeUnscripted(transaction: Transaction) {
    return super.write(transaction);
  }

  /** Applies a transaction of the tested writer and counts it. */
  async commitTransaction(transaction: Transaction) {
    const result = await super.write(transaction);
    if (result.ok) this.applied++;
    return result;
  }

  private nextStep(): Step {
    return this.steps[this.calls++] ?? 'fine';
  }
}

const READ_ERRORS: {readonly [step in Step]?: StoreError} = {
  refused: REFUSED,
  throttled: THROTTLED,
  'answer-lost': UNKNOWN,
  'request-lost': UNKNOWN,
};

type WriteHandler = (
  table: ScriptedTable,
  transaction: Transaction,
) => Promise<StoreError | undefined>;

const WRITE_HANDLERS = {
  fine: async () => undefined,
  refused: async () => REFUSED,
  throttled: async () => THROTTLED,
  ['answer-lost']: async (table, transaction) => {
    await table.commitTransaction(transaction);
    return UNKNOWN;
  },
  ['request-lost']: async () => UNKNOWN,
  late: async (table, transaction) => {
    table.late.push(transaction);
    return UNKNOWN;
  },
  overwritten: async (table, transaction) => {
    await table.commitTransaction(transaction);
    await table.writeConcurrently(table);
    return UNKNOWN;
  },
  forestalled: async table => {
    await table.writeConcurrently(table);
    return UNKNOWN;
  },
} satisfies Record<Step, WriteHandler>;
