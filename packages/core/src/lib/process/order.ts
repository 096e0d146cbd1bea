/** Orders to engines: load or unload a version or adapter, or change role. */
import type {Refusal} from '../request/refusal.js';

/**
 * Orders of one holder, told from those of an earlier one: a higher token is a
 * later holder.
 */
export interface Fence {
  readonly token: number;
  readonly holder: string;
}

/** What is to be done. */
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

/** What an engine does: both phases, or one of them. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** An order with its fence. */
export interface Order {
  readonly id: string;
  readonly fence: Fence;
  readonly action: OrderAction;
}

/** Whether an order was taken. */
export type OrderOutcome =
  | {readonly kind: 'taken'}
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/**
 * Who checks the fence of an order at a target: its engine, the target process
 * in its place, or nobody but the target process with no memory of it.
 */
export type FenceCheck = 'fenced' | 'unfenced' | 'unchecked';
