/**
 * One lane of a target: all models that share its engine, or one plain service.
 * A lane decides by itself; the admission of the target only hands events on.
 */
import type {
  AdmissionAction,
  AdmissionLoad,
  AdmissionRequest,
} from './admission.js';
import type {EngineLoad} from './engine_client.js';
import type {PoolConfig} from '../version/target_config.js';

/** Decides what runs when in one lane. Times are in milliseconds. */
export interface Lane {
  configure(
    pools: readonly PoolConfig[],
    weights: Readonly<Record<string, number>>,
  ): void;
  arrived(request: AdmissionRequest, now: number): readonly AdmissionAction[];
  firstToken(id: string, now: number): readonly AdmissionAction[];
  tokens(id: string, count: number, now: number): readonly AdmissionAction[];
  ended(id: string, how: EndKind, now: number): readonly AdmissionAction[];
  abandoned(id: string, now: number): readonly AdmissionAction[];
  engineLoad(load: EngineLoad): void;
  leaving(now: number): readonly AdmissionAction[];
  tick(now: number): readonly AdmissionAction[];
  /** Whether the engine has the request. */
  runs(id: string): boolean;
  load(): AdmissionLoad;
}

/** How a request left the engine. */
export type EndKind = 'done' | 'failed' | 'cancelled' | 'preempted';
