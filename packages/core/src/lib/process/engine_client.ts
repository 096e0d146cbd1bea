/**
 * What a target process can ask of the engine or plain service beside it. The
 * users' own protocol is met by one new implementation.
 */
import type {Order, OrderOutcome} from './order.js';
import type {FinishReason, ServiceCall, Usage} from '../request/work.js';
import type {Completion} from '../request/work.js';
import type {PartialAnswer} from '../request/serve.js';

/** A request as an engine gets it. */
export interface EngineRequest {
  readonly id: string;
  readonly completion: Completion;
  readonly version?: string;
  /** Goes on behind these tokens. */
  readonly resume?: PartialAnswer;
  readonly traceparent?: string;
}

/** What an engine streams. */
export type EngineEvent =
  | {readonly kind: 'token'; readonly index: number; readonly text: string}
  | {
      readonly kind: 'done';
      readonly usage: Usage;
      readonly finishReason: FinishReason;
    };

/** Load as the engine reports it, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvTokensUsed: number;
  readonly kvTokensTotal: number;
  /** How old the figures are, as far as known, in milliseconds. */
  readonly ageMs: number;
  readonly versions: readonly {
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly state: 'loading' | 'ready' | 'unloading' | 'failed';
  }[];
}

/** A change of an engine's prefix cache; late, and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Fingerprint of the prefix. */
  readonly prefix: string;
  readonly tokens: number;
}

/** Why an engine gave no answer. */
export class EngineError extends Error {
  override readonly name = 'EngineError';

  /**
   * @param kind - `refused`: it did not take the request; `failed`: it did, and
   *     failed it for good (the input is bad); `lost`: the connection broke.
   * @param message - What happened.
   */
  constructor(
    readonly kind: 'refused' | 'failed' | 'lost',
    message: string,
  ) {
    super(message);
  }
}

/** A model engine. */
export interface EngineClient {
  /**
   * @returns Its tokens, in order. Ending the iteration or aborting cancels.
   * @throws EngineError
   */
  generate(req: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;
  /** @throws EngineError */
  load(signal: AbortSignal): Promise<EngineLoad>;
  /** @throws EngineError */
  order(order: Order, signal: AbortSignal): Promise<OrderOutcome>;
  /** Events after `sequence`. @throws EngineError */
  cacheEvents(
    sequence: number,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]>;
  /** @throws EngineError */
  exportCache(prefix: string, signal: AbortSignal): Promise<Uint8Array>;
  /** @throws EngineError */
  importCache(cache: Uint8Array, signal: AbortSignal): Promise<void>;
}

/** A plain service's answer. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body: string;
}

/** A plain service. */
export interface ServiceClient {
  /** @throws EngineError */
  call(
    call: ServiceCall,
    signal: AbortSignal,
    traceparent?: string,
  ): Promise<ServiceResponse>;
}
