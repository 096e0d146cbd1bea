/** One online request, as the parts of an entry hand it on. */
import type {PartialAnswer, ServeClass, ServeEvent, Work} from '@oathead/core';

/** A request that has passed the API's checks. */
export interface ServeCall {
  readonly id: string;
  readonly caller: string;
  readonly class: ServeClass;
  readonly work: Work;
  readonly idempotent: boolean;
  /** Names the outcome for good; see `ServeRequest.dedupeKey`. */
  readonly dedupeKey?: string;
  /** On this process's clock, in milliseconds. */
  readonly deadline: number;
  readonly stream: boolean;
  readonly suspect?: boolean;
  readonly resume?: PartialAnswer;
  readonly traceparent?: string;
}

/** Serves a request: on from here to a target, or to another entry. */
export type Serve = (
  call: ServeCall,
  signal: AbortSignal,
) => AsyncIterable<ServeEvent>;
