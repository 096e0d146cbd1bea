/**
 * The interfaces through which a target process uses the engine or plain
 * service that it fronts. Supporting another engine protocol takes one new
 * implementation.
 */
import type {Order, OrderOutcome} from './order.js';
import type {FinishReason, ServiceCall, Usage} from '../request/work.js';
import type {Completion} from '../request/work.js';
import type {PartialAnswer} from '../request/serve.js';

/** A request to an engine. */
export interface EngineRequest {
  readonly id: string;
  readonly completion: Completion;
  readonly version?: string;
  /** The partial output after which generation resumes. */
  readonly resume?: PartialAnswer;
  readonly traceparent?: string;
}

/** An event of the output stream of an engine. */
export type EngineEvent =
  | {readonly kind: 'token'; readonly index: number; readonly text: string}
  | {
      readonly kind: 'done';
      readonly usage: Usage;
      readonly finishReason: FinishReason;
    };

/** Load as reported by the engine, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvTokensUsed: number;
  readonly kvTokensTotal: number;
  /** Age of the values, as far as known, in milliseconds. */
  readonly ageMs: number;
  readonly versions: readonly {
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly state: 'loading' | 'ready' | 'unloading' | 'failed';
  }[];
}

/**
 * A change of an engine's prefix cache. Events arrive late, and some are lost.
 */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Fingerprint that identifies the prefix. */
  readonly prefix: string;
  readonly tokens: number;
}

/** The reason why an engine or service did not answer. */
export class EngineError extends Error {
  override readonly name = 'EngineError';

  /**
   * @param kind - `refused`: it did not accept the request; `failed`: it
   *     accepted the request and failed it permanently, because the input is
   *     invalid; `lost`: the connection broke.
   * @param message - A description for operators.
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
   * Generates a completion. Ending the iteration early or aborting the signal
   * cancels the request at the engine.
   *
   * @param req - The request.
   * @param signal - Cancels the request.
   * @returns The tokens in order, then `done`.
   * @throws EngineError
   */
  generate(req: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;
  /**
   * @param signal - Cancels the call.
   * @returns The engine's own load report.
   * @throws EngineError
   */
  load(signal: AbortSignal): Promise<EngineLoad>;
  /**
   * Sends an order, such as to load a model version.
   *
   * @param order - The order.
   * @param signal - Cancels the call.
   * @returns Whether the engine accepted the order.
   * @throws EngineError
   */
  order(order: Order, signal: AbortSignal): Promise<OrderOutcome>;
  /**
   * @param sequence - The last sequence number already received.
   * @param signal - Cancels the call.
   * @returns The prefix cache events after `sequence`.
   * @throws EngineError
   */
  cacheEvents(
    sequence: number,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]>;
  /**
   * @param prefix - The fingerprint of a cached prefix.
   * @param signal - Cancels the call.
   * @returns The serialized cache of the prefix.
   * @throws EngineError
   */
  exportCache(prefix: string, signal: AbortSignal): Promise<Uint8Array>;
  /**
   * @param cache - A cache serialized by {@link EngineClient.exportCache}.
   * @param signal - Cancels the call.
   * @throws EngineError
   */
  importCache(cache: Uint8Array, signal: AbortSignal): Promise<void>;
}

/** The response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body: string;
}

/** A plain service. */
export interface ServiceClient {
  /**
   * @param call - The call.
   * @param signal - Cancels the call.
   * @param traceparent - W3C trace context to propagate.
   * @returns The response.
   * @throws EngineError
   */
  call(
    call: ServiceCall,
    signal: AbortSignal,
    traceparent?: string,
  ): Promise<ServiceResponse>;
}
