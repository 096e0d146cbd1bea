/** A table that fails by a script, for the tests of writers. */
import {failure} from '@oathead/core';
import {MemoryTable} from '../../lib/process/memory_table.js';
import type {StoreError, Transaction} from '../../lib/process/table_store.js';

/** What happens to one call. */
export type Step =
  | 'fine'
  | 'refused'
  | 'throttled'
  /** Carried out; the answer is lost. */
  | 'answer-lost'
  /** Never carried out; the sender cannot tell. */
  | 'request-lost'
  /** Carried out when `deliverLate` is called; the sender cannot tell. */
  | 'late'
  /** Carried out, then another writer writes over it; the answer is lost. */
  | 'overwritten'
  /** Another writer comes first; the sender's own write never arrives. */
  | 'forestalled';

const REFUSED = {kind: 'unavailable', applied: 'no', message: ''} as const;
const UNKNOWN = {kind: 'unavailable', applied: 'unknown', message: ''} as const;
const THROTTLED = {kind: 'throttled', retryAfterMs: 10} as const;

/** Follows the script, one step a call of any kind, then works. */
export class ScriptedTable extends MemoryTable {
  /** Transactions of the tested writer that took effect. */
  applied = 0;
  calls = 0;
  readonly late: Transaction[] = [];

  /**
   * @param steps - What happens to each call.
   * @param other - Another writer's write.
   */
  constructor(
    private readonly steps: readonly Step[],
    readonly other: (table: MemoryTable) => Promise<void>,
  ) {
    super();
  }

  override async read(keys: readonly string[]) {
    const err = READ_ERRORS[this.nextStep()];
    return err ? failure(err) : super.read(keys);
  }

  override async write(transaction: Transaction) {
    const err = await WRITE_HANDLERS[this.nextStep()](this, transaction);
    return err ? failure(err) : this.carryOut(transaction);
  }

  /** Lets what was sent long ago arrive. */
  async deliverLate(): Promise<void> {
    for (const transaction of this.late.splice(0))
      await this.carryOut(transaction);
  }

  /** A write of the other writer, past the script. */
  writeDirectly(transaction: Transaction) {
    return super.write(transaction);
  }

  /** Carries out a transaction of the tested writer. */
  async carryOut(transaction: Transaction) {
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
    await table.carryOut(transaction);
    return UNKNOWN;
  },
  ['request-lost']: async () => UNKNOWN,
  late: async (table, transaction) => {
    table.late.push(transaction);
    return UNKNOWN;
  },
  overwritten: async (table, transaction) => {
    await table.carryOut(transaction);
    await table.other(table);
    return UNKNOWN;
  },
  forestalled: async table => {
    await table.other(table);
    return UNKNOWN;
  },
} satisfies Record<Step, WriteHandler>;
