/** Messages of one request between an entry and a target process. */
import type {Refusal} from './refusal.js';
import type {Answer, FinishReason, Usage, Work} from './work.js';

/**
 * Priority class: callers wait for online requests; batch requests use the
 * capacity that online requests leave free.
 */
export type ServeClass = 'online' | 'batch';

/** Request from an entry to a target process. */
export interface ServeRequest {
  /** ID of the request; the same for every attempt. */
  readonly id: string;
  /** Number of the attempt, starting at 1. */
  readonly attempt: number;
  readonly entryId: string;
  readonly caller: string;
  readonly class: ServeClass;
  readonly work: Work;
  readonly idempotent: boolean;
  /**
   * Permanent name of the outcome: `caller/key` of a keyed request, `job/item`
   * of a batch item. A target process runs each name once and answers repeated
   * requests with the same result.
   */
  readonly dedupeKey?: string;
  /** Time to the deadline when the request was sent, in milliseconds. */
  readonly timeoutMs: number;
  readonly promptTokens: number;
  /**
   * Whether tokens are streamed; otherwise only the complete answer is sent.
   */
  readonly stream: boolean;
  /**
   * Whether the request was in flight when a target died. It must run alone,
   * since it may have caused the crash.
   */
  readonly suspect?: boolean;
  /** Tokens that another target generated before the request was preempted. */
  readonly resume?: PartialAnswer;
  /** W3C trace context. */
  readonly traceparent?: string;
}

/** Output that was generated before a request was preempted. */
export interface PartialAnswer {
  readonly text: string;
  readonly tokens: number;
}

/** Events of a request at a target process, in this order. */
export type ServeEvent =
  /** The request is being passed to the engine; from now on it may have run. */
  | {readonly kind: 'started'; readonly version: string}
  /** `index` counts tokens from 0; a gap or overlap is a protocol error. */
  | {
      readonly kind: 'tokens';
      readonly index: number;
      readonly count: number;
      readonly text: string;
    }
  /** End of an answered request; `answer` is complete, also when streamed. */
  | {readonly kind: 'done'; readonly answer: Answer}
  /** End of a batch request that was preempted and can be resumed elsewhere. */
  | {readonly kind: 'yielded'; readonly partial: PartialAnswer}
  /** End of a request that was not answered. */
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Outcome of one request, as seen by its sender. */
export type ServeOutcome = Extract<
  ServeEvent,
  {readonly kind: 'done' | 'yielded' | 'refused'}
>;

/**
 * @param event - Event from a target process.
 * @returns Whether the event is the last one of its request.
 */
export function isFinalEvent(event: ServeEvent): event is ServeOutcome {
  return event.kind !== 'started' && event.kind !== 'tokens';
}

export type {FinishReason, Usage};
