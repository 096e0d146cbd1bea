/** Items of batch jobs, between the keeper of jobs and the dispatcher. */
import type {Refusal} from './refusal.js';
import type {Answer, Work} from './work.js';
import type {Partial} from './serve.js';

/** One item to run. */
export interface BatchItem {
  readonly caller: string;
  readonly job: string;
  readonly item: string;
  readonly work: Work;
  readonly idempotent: boolean;
  /** Counts from 1, over all holders. */
  readonly attempt: number;
  /** Was in flight when a target died: must run alone. */
  readonly suspect?: boolean;
  readonly resume?: Partial;
}

/** How one attempt at an item ended. */
export type ItemOutcome =
  | {readonly kind: 'done'; readonly answer: Answer}
  /** Cannot be completed, now or later. */
  | {readonly kind: 'failed'; readonly refusal: Refusal}
  /** No engine has seen it, or it was given back: send it again. */
  | {
      readonly kind: 'returned';
      readonly refusal?: Refusal;
      readonly partial?: Partial;
    }
  /** It may have run. An idempotent item is sent again; another is unknown. */
  | {
      readonly kind: 'lost';
      readonly refusal: Refusal;
      /** The target died with it in flight. */
      readonly suspect: boolean;
    };

/** Sends items to targets; given by the entry to the keeper of jobs. */
export interface ItemRunner {
  /** How many more items of a model or service the targets would take now. */
  room(pool: string): number;
  /** Calls back when room may have grown. */
  onRoom(callback: () => void): Disposable;
  /** Runs one attempt. Aborting cancels it at the target. */
  run(item: BatchItem, signal: AbortSignal): Promise<ItemOutcome>;
}
