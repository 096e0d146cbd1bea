/** Items of batch jobs, as passed from the batch worker to the dispatcher. */
import type {Refusal} from './refusal.js';
import type {Answer, Work} from './work.js';
import type {PartialAnswer} from './serve.js';

/** One item to run. */
export interface BatchItem {
  readonly caller: string;
  readonly job: string;
  readonly item: string;
  readonly work: Work;
  readonly idempotent: boolean;
  /**
   * Number of the attempt, starting at 1 and counted across all lease holders.
   */
  readonly attempt: number;
  /**
   * Whether the item was in flight when a target died. It must run alone, since
   * it may have caused the crash.
   */
  readonly suspect?: boolean;
  readonly resume?: PartialAnswer;
}

/** Outcome of one attempt at an item. */
export type ItemOutcome =
  | {readonly kind: 'done'; readonly answer: Answer}
  /** The item cannot be completed, now or later. */
  | {readonly kind: 'failed'; readonly refusal: Refusal}
  /** No engine has received the item, or it was preempted: it is sent again. */
  | {
      readonly kind: 'returned';
      readonly refusal?: Refusal;
      readonly partial?: PartialAnswer;
    }
  /**
   * The item may have run. If idempotent it is sent again, otherwise its
   * outcome is unknown.
   */
  | {
      readonly kind: 'lost';
      readonly refusal: Refusal;
      /** Whether the target died while the item was in flight. */
      readonly suspect: boolean;
    };

/** Sends items to targets. The entry provides it to the batch worker. */
export interface ItemRunner {
  /**
   * @param pool - Name of a model or service.
   * @returns The number of further items that its targets can accept now.
   */
  freeCapacity(pool: string): number;
  /**
   * @param callback - Called when the free capacity may have grown.
   * @returns A disposable that removes the callback.
   */
  onFreeCapacity(callback: () => void): Disposable;
  /**
   * Runs one attempt.
   *
   * @param item - The item to run.
   * @param signal - Cancels the attempt at the target when aborted.
   * @returns The outcome of the attempt.
   */
  run(item: BatchItem, signal: AbortSignal): Promise<ItemOutcome>;
}
