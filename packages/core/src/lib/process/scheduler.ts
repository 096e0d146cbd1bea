/**
 * The scheduler of one backend of a target: the engine that all its models
 * share, or one plain service. Schedulers are independent of each other; the
 * admission control of the target only dispatches events to them.
 */
import type {
  AdmissionAction,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import type {EngineLoad} from './engine_client.js';
import type {PoolConfig} from '../version/target_config.js';

/**
 * Schedules the requests of one backend. Times are in milliseconds. The methods
 * return the actions to carry out immediately, in order.
 */
export interface Scheduler {
  /**
   * @param pools - The configuration of all pools of the target.
   * @param weights - Fair-queueing weight by caller; the default is 1.
   */
  configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
  ): void;
  /** Handles a request that arrived. */
  arrived(request: AdmissionRequest, now: number): readonly AdmissionAction[];
  /** Handles the first token of a running request. */
  firstToken(id: string, now: number): readonly AdmissionAction[];
  /** Handles `count` further tokens of a running request. */
  tokens(id: string, count: number, now: number): readonly AdmissionAction[];
  /** Handles a request that the engine or service no longer holds. */
  ended(id: string, how: RunEnd, now: number): readonly AdmissionAction[];
  /** Handles a queued request whose caller has disconnected. */
  abandoned(id: string, now: number): readonly AdmissionAction[];
  /** Records the engine's own load report. */
  engineLoad(load: EngineLoad): void;
  /** Starts draining: queued batch work is returned, new work refused. */
  leaving(now: number): readonly AdmissionAction[];
  /** Handles timeouts of queued requests and starts what can run. */
  tick(now: number): readonly AdmissionAction[];
  /** Whether the engine or service holds the request. */
  runs(id: string): boolean;
  /** The current load of the backend. */
  load(): AdmissionLoad;
}

/** How a run ended at the engine or service. */
export type RunEnd = 'done' | 'failed' | 'cancelled' | 'preempted';
