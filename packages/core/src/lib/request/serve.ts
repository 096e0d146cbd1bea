/** One request on its way from an entry to a target process, and back. */
import type {Refusal} from './refusal.js';
import type {Answer, FinishReason, Usage, Work} from './work.js';

/** Online callers wait; batch work fills what they leave idle. */
export type ServeClass = 'online' | 'batch';

/** What an entry asks of a target process. */
export interface ServeRequest {
  /** The same for every attempt at one request. */
  readonly id: string;
  /** Counts from 1. */
  readonly attempt: number;
  readonly entryId: string;
  readonly caller: string;
  readonly class: ServeClass;
  readonly work: Work;
  readonly idempotent: boolean;
  /**
   * Names the outcome for good: `caller/key` of a keyed request,
   * `job/item` of a batch item. A target process runs one such name once and
   * gives a resend the same answer.
   */
  readonly dedupeKey?: string;
  /** Time left when it was sent, in milliseconds. */
  readonly timeoutMs: number;
  readonly promptTokens: number;
  /** Tokens are wanted as they come; otherwise only the whole answer. */
  readonly stream: boolean;
  /** Was in flight when a target died: must run alone. */
  readonly suspect?: boolean;
  /** Tokens that another target generated before it had to stop. */
  readonly resume?: Partial;
  /** W3C trace context. */
  readonly traceparent?: string;
}

/** What was generated before a stream was given back. */
export interface Partial {
  readonly text: string;
  readonly tokens: number;
}

/** What a target process tells about a request, in this order. */
export type ServeEvent =
  /** The engine is being handed the request: from here on it may have run. */
  | {readonly kind: 'started'; readonly version: string}
  /** `index` counts tokens from 0; a gap or overlap is a broken stream. */
  | {
      readonly kind: 'tokens';
      readonly index: number;
      readonly count: number;
      readonly text: string;
    }
  /** The end of an answered request; `answer` is whole, also when streamed. */
  | {readonly kind: 'done'; readonly answer: Answer}
  /** The end of a batch request that was given back: resume it elsewhere. */
  | {readonly kind: 'yielded'; readonly partial: Partial}
  /** The end of a request that was not answered. */
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** How one request ended, as the side that sent it sees it. */
export type ServeOutcome = Extract<
  ServeEvent,
  {readonly kind: 'done' | 'yielded' | 'refused'}
>;

/**
 * @param event - What a target process tells.
 * @returns Whether the request has ended with it.
 */
export function isFinal(event: ServeEvent): event is ServeOutcome {
  return event.kind !== 'started' && event.kind !== 'tokens';
}

export type {FinishReason, Usage};
