/**
 * Orders to engines: to load or unload a model version or adapter, or to change
 * the role of the engine.
 */
import type {Refusal} from '../request/refusal.js';

/**
 * A fencing token. Orders of a superseded holder are told apart from those of
 * the current one by the token, which increases with each new holder.
 */
export interface Fence {
  readonly token: number;
  readonly holder: string;
}

/** The action that an order asks for. */
export type OrderAction =
  | {
      readonly kind: 'load-version';
      readonly model: string;
      readonly version: string;
    }
  | {
      readonly kind: 'unload-version';
      readonly model: string;
      readonly version: string;
    }
  | {
      readonly kind: 'load-adapter';
      readonly model: string;
      readonly adapter: string;
    }
  | {
      readonly kind: 'unload-adapter';
      readonly model: string;
      readonly adapter: string;
    }
  | {readonly kind: 'set-role'; readonly role: EngineRole};

/** The phases that an engine runs: prefill, decode or both (`mixed`). */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** An order and its fencing token. */
export interface Order {
  readonly id: string;
  readonly fence: Fence;
  readonly action: OrderAction;
}

/** Whether an order was accepted. */
export type OrderOutcome =
  | {readonly kind: 'taken'}
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/**
 * Which component rejects orders of a superseded holder at a target.
 *
 * - `fenced`: the engine itself.
 * - `unfenced`: the target process in place of the engine. It accepts no order
 *   until it has learned the token of the current holder.
 * - `unchecked`: the target process, but only against the highest token that it
 *   has seen since its start.
 */
export type FenceCheck = 'fenced' | 'unfenced' | 'unchecked';
