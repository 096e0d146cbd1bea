/**
 * The message interface of admission control at one target. The target process
 * reports events and carries out the actions it gets in return. An
 * implementation of {@link Admission} makes the decisions; the daemon and the
 * policy benchmark use the same one.
 */
import type {Refusal} from '../request/refusal.js';
import type {ServeClass} from '../request/serve.js';
import type {PoolConfig} from '../version/target_config.js';
import type {EngineLoad} from './engine_client.js';

/** The properties of a request that admission control decides by. */
export interface AdmissionRequest {
  readonly id: string;
  readonly pool: string;
  readonly class: ServeClass;
  readonly caller: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** In milliseconds, on the clock of this process. */
  readonly deadline: number;
  /**
   * Was in flight when a target crashed, so it may have caused the crash. It
   * must run alone.
   */
  readonly suspect: boolean;
  /**
   * Tokens generated before the request was preempted or returned to the entry
   * process that sent it.
   */
  readonly resumedTokens: number;
  /**
   * False if the request cannot be cancelled and resumed once it has started,
   * because it is not idempotent or is a call to a plain service. The target
   * process does not carry out a `preempt` of such a request.
   */
  readonly preemptible?: boolean;
}

/** An event that the target process reports. */
export type AdmissionEvent =
  | {readonly kind: 'arrived'; readonly request: AdmissionRequest}
  | {readonly kind: 'first-token'; readonly id: string}
  | {readonly kind: 'tokens'; readonly id: string; readonly count: number}
  /** The engine no longer holds the request. */
  | {
      readonly kind: 'ended';
      readonly id: string;
      readonly how: 'done' | 'failed' | 'cancelled' | 'preempted';
    }
  /** The caller of a queued request has disconnected. */
  | {readonly kind: 'abandoned'; readonly id: string}
  /** The engine's own load report; it arrives with a lag. */
  | {readonly kind: 'load'; readonly load: EngineLoad}
  | {
      readonly kind: 'config';
      readonly pools: readonly PoolConfig[];
      readonly callerWeights: Readonly<Record<string, number>>;
    }
  /**
   * The target starts draining: it accepts no new work from now on, and queued
   * batch work is returned to the entry processes that sent it.
   */
  | {readonly kind: 'leaving'}
  /** Sent at least every 20 ms while any request is queued or running. */
  | {readonly kind: 'tick'};

/**
 * An action for the target process, which carries out the actions of one call
 * immediately and in order.
 */
export type AdmissionAction =
  | {
      readonly kind: 'start';
      readonly id: string;
      /**
       * Prefill only the first `prefillOnly` tokens of the prompt, so that the
       * engine caches them. The target process sends the engine the truncated
       * prompt, asks for one token and drops it. It then reports `ended` as
       * `preempted`, and the request arrives again. A target process that does
       * not support this starts the whole request.
       */
      readonly prefillOnly?: number;
    }
  /**
   * Cancel the request at the engine and keep the tokens generated so far. The
   * target process then reports `ended` as `preempted`.
   */
  | {readonly kind: 'preempt'; readonly id: string}
  | {readonly kind: 'refuse'; readonly id: string; readonly refusal: Refusal}
  /** Return a queued batch request to the entry process that sent it. */
  | {readonly kind: 'give-back'; readonly id: string};

/** The part of a load report that admission control provides. */
export interface AdmissionLoad {
  readonly onlineRunning: number;
  readonly onlineQueued: number;
  readonly onlineCapacity: number;
  readonly batchRunning: number;
  readonly batchQueued: number;
  /** Further batch requests that would be accepted now. */
  readonly batchRoom: number;
  /** Prompt tokens of running online requests still to be prefilled. */
  readonly prefillTokens: number;
  /**
   * Predicted duration of one engine step with the current online streams, or
   * mean latency of a plain service, in milliseconds. Over several backends,
   * the maximum.
   */
  readonly stepMs: number;
}

/** Schedules the requests of one target. */
export interface Admission {
  /**
   * Handles one event.
   *
   * @param event - The event.
   * @param now - Time in milliseconds, on the clock of this process.
   * @returns The actions to carry out immediately, in order.
   */
  handle(event: AdmissionEvent, now: number): readonly AdmissionAction[];
  /** @returns The current load, summed over the pools of the target. */
  load(): AdmissionLoad;
}
