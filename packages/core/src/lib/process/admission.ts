/**
 * What the process beside a target needs decided, as messages: it reports what
 * happened and carries out what it is told. The decisions themselves are made
 * by an implementation of {@link Admission}, the same one in the daemon and in
 * the policy bench.
 */
import type {Refusal} from '../request/refusal.js';
import type {ServeClass} from '../request/serve.js';
import type {PoolConfig} from '../version/target_config.js';
import type {EngineLoad} from './engine_client.js';

/** A request as admission sees it. */
export interface AdmissionRequest {
  readonly id: string;
  readonly pool: string;
  readonly class: ServeClass;
  readonly caller: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** On the clock of this process, in milliseconds. */
  readonly deadline: number;
  /** Must run with nothing beside it. */
  readonly suspect: boolean;
  /** Tokens generated before it was preempted or given back. */
  readonly resumedTokens: number;
  /**
   * False: once started it can't be cancelled and resumed, as it is not
   * idempotent or a call of a plain service; a `preempt` is not carried out.
   */
  readonly preemptible?: boolean;
}

/** What happened. */
export type AdmissionEvent =
  | {readonly kind: 'arrived'; readonly request: AdmissionRequest}
  | {readonly kind: 'first-token'; readonly id: string}
  | {readonly kind: 'tokens'; readonly id: string; readonly count: number}
  /** The engine is free of the request. */
  | {
      readonly kind: 'ended';
      readonly id: string;
      readonly how: 'done' | 'failed' | 'cancelled' | 'preempted';
    }
  /** The caller of a waiting request has gone. */
  | {readonly kind: 'abandoned'; readonly id: string}
  /** The engine's own report, late. */
  | {readonly kind: 'load'; readonly load: EngineLoad}
  | {
      readonly kind: 'config';
      readonly pools: readonly PoolConfig[];
      readonly callerWeights: Readonly<Record<string, number>>;
    }
  /** No new work from now on; waiting batch work is given back. */
  | {readonly kind: 'leaving'}
  /** At least every 20 ms while anything waits or runs. */
  | {readonly kind: 'tick'};

/** What is to be done, at once and in this order. */
export type AdmissionAction =
  | {
      readonly kind: 'start';
      readonly id: string;
      /**
       * Only this many tokens of the prompt, from its beginning, are to be
       * prefilled now, so that they are cached: the engine is asked for the
       * shortened prompt and one token, which is dropped. `ended` as
       * `preempted` follows, and the request arrives again. A process that
       * cannot do so starts the request as a whole.
       */
      readonly prefillOnly?: number;
    }
  /** Cancel at the engine, keep the tokens; `ended` as `preempted` follows. */
  | {readonly kind: 'preempt'; readonly id: string}
  | {readonly kind: 'refuse'; readonly id: string; readonly refusal: Refusal}
  /** Waiting batch work goes back to the entry that sent it. */
  | {readonly kind: 'give-back'; readonly id: string};

/** The part of a load report that admission knows. */
export interface AdmissionLoad {
  readonly onlineRunning: number;
  readonly onlineQueued: number;
  readonly onlineCapacity: number;
  readonly batchRunning: number;
  readonly batchQueued: number;
  readonly batchRoom: number;
  readonly prefillTokens: number;
  readonly stepMs: number;
}

/** Decides what runs when at one target. */
export interface Admission {
  /**
   * @param event - What happened.
   * @param now - Milliseconds on the clock of this process.
   * @returns What is to be done.
   */
  handle(event: AdmissionEvent, now: number): readonly AdmissionAction[];
  load(): AdmissionLoad;
}
