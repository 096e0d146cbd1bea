/** What the engine model tells about itself. */
import type {LoadSample} from './load_samples.js';

/** What happens to one request, without its name and time. */
export type SequenceEvent =
  /** Its prefill begins, behind `cachedTokens` that were found in the cache. */
  | {readonly kind: 'admitted'; readonly cachedTokens: number}
  /** One more token; `index` counts from 0, resumed tokens among them. */
  | {readonly kind: 'token'; readonly index: number}
  /** KV memory ran out: it waits again, first in line, and keeps its tokens. */
  | {readonly kind: 'evicted'}
  /** The engine is free of it. */
  | {readonly kind: 'done' | 'cancelled'};

/** What happens in the model, at `at` milliseconds. */
export type ModelEvent = SequenceEvent & {
  readonly id: string;
  readonly at: number;
};

/** What the model holds right now. Real engines do not tell this in time. */
export interface ModelState extends LoadSample {
  /** Tokens still to be prefilled, of running and waiting requests. */
  readonly prefillTokens: number;
  /** Time of the current step, in milliseconds; 0 when idle. */
  readonly stepMs: number;
  readonly cachedTokens: number;
}
