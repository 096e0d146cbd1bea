/** Runs items of batch jobs at targets, one attempt each. */
import type {
  BatchItem,
  Clock,
  ItemOutcome,
  ItemRunner,
  Random,
  Refusal,
  ServeOutcome,
} from '@oathead/core';
import {isFinalEvent} from '@oathead/core';
import type {TargetFleet} from '../connection/target_fleet.js';
import type {Serve, ServeCall} from './online_call.js';

/** What running items needs. */
export interface BatchRunnerDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: Pick<TargetFleet, 'batchRoom' | 'onRoom'>;
  readonly dispatch: Serve;
  /** Longest time of one attempt, waiting at the target included, in ms. */
  readonly itemTimeoutMs: number;
}

/** Refusals that another attempt would only repeat. */
const FINAL_REFUSALS: ReadonlySet<Refusal['kind']> = new Set([
  'invalid-request',
  'not-found',
  'suspect',
  'too-large',
  'key-conflict',
  'outcome-unknown',
]);

/** The target died with the item in flight. */
const DEATHS: ReadonlySet<Refusal['kind']> = new Set([
  'engine-failed',
  'target-lost',
]);

/** Runs items of batch jobs at targets. */
export class BatchRunner implements ItemRunner {
  /** @param deps - The fleet and the way to it. */
  constructor(private readonly deps: BatchRunnerDeps) {}

  freeCapacity(pool: string): number {
    return this.deps.fleet.batchRoom(pool);
  }

  onFreeCapacity(callback: () => void): Disposable {
    return this.deps.fleet.onRoom(callback);
  }

  async run(item: BatchItem, signal: AbortSignal): Promise<ItemOutcome> {
    const call = this.callOf(item);
    for await (const event of this.deps.dispatch(call, signal)) {
      if (isFinalEvent(event)) return itemOutcome(event);
    }
    return {kind: 'lost', refusal: ABANDONED, suspect: false};
  }

  private callOf(item: BatchItem): ServeCall {
    return {
      id: this.deps.random.id(),
      caller: item.caller,
      class: 'batch',
      work: item.work,
      idempotent: item.idempotent,
      dedupeKey: `${item.caller}/${item.job}/${item.item}`,
      deadline: this.deps.clock.now() + this.deps.itemTimeoutMs,
      stream: false,
      ...(item.suspect ? {suspect: true} : {}),
      ...(item.resume ? {resume: item.resume} : {}),
    };
  }
}

const ABANDONED: Refusal = {
  kind: 'cancelled',
  message: 'the attempt was given up',
  ran: 'may-have-run',
};

const OUTCOMES: {
  readonly [K in ServeOutcome['kind']]: (
    outcome: Extract<ServeOutcome, {readonly kind: K}>,
  ) => ItemOutcome;
} = {
  done: ({answer}) => ({kind: 'done', answer}),
  yielded: ({partial}) => ({kind: 'returned', partial}),
  refused: ({refusal}) => refusedItem(refusal),
};

function itemOutcome(outcome: ServeOutcome): ItemOutcome {
  const handler = OUTCOMES[outcome.kind] as (
    outcome: ServeOutcome,
  ) => ItemOutcome;
  return handler(outcome);
}

function refusedItem(refusal: Refusal): ItemOutcome {
  if (FINAL_REFUSALS.has(refusal.kind)) return {kind: 'failed', refusal};
  if (refusal.ran === 'not-run') return {kind: 'returned', refusal};
  const suspect = DEATHS.has(refusal.kind);
  return {kind: 'lost', refusal, suspect};
}
