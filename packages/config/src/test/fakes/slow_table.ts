/** A way to a table that takes time, fails now and then and loses answers. */
import {failure, sleep} from '@oathead/core';
import type {Clock, Outcome, Random} from '@oathead/core';
import type {
  Committed,
  ListOptions,
  Row,
  StoreError,
  TableStore,
  Transaction,
} from '@oathead/platform';

const MIN_TRIP_MS = 3;
const TRIP_SPREAD_MS = 20;
const TIMEOUT_MS = 500;

/** What is wrong with the store, for all who use it. */
export interface StoreFaults {
  down: boolean;
  /** Share of writes whose answer is lost, from 0 to 1. */
  lostAnswers: number;
}

export class SlowTable implements TableStore {
  constructor(
    private readonly table: TableStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly faults: StoreFaults,
  ) {}

  read(
    keys: readonly string[],
  ): Promise<Outcome<readonly (Row | undefined)[], StoreError>> {
    return this.call(() => this.table.read(keys));
  }

  list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Outcome<readonly Row[], StoreError>> {
    return this.call(() => this.table.list(prefix, options));
  }

  async write(
    transaction: Transaction,
  ): Promise<Outcome<Committed, StoreError>> {
    const written = await this.call(() => this.table.write(transaction));
    if (this.random.float() >= this.faults.lostAnswers) return written;
    return this.unavailable('unknown');
  }

  private async call<T>(
    ask: () => Promise<Outcome<T, StoreError>>,
  ): Promise<Outcome<T, StoreError>> {
    const tripMs = MIN_TRIP_MS + this.random.float() * TRIP_SPREAD_MS;
    await sleep(this.clock, tripMs / 2);
    if (this.faults.down) return this.unavailable('no');
    const answer = await ask();
    await sleep(this.clock, tripMs / 2);
    return this.faults.down ? this.unavailable('unknown') : answer;
  }

  private async unavailable(
    applied: 'no' | 'unknown',
  ): Promise<Outcome<never, StoreError>> {
    await sleep(this.clock, TIMEOUT_MS);
    return failure({kind: 'unavailable', applied, message: 'no answer'});
  }
}
