/** What a handler of a fault is given. */
import type {Random} from '@oathead/core';
import type {SoakFleet} from './soak_fleet.js';

/** What a fault strikes, and for how long. */
export interface FaultCall {
  readonly fleet: SoakFleet;
  readonly random: Random;
  readonly forMs: number;
}

/** Brings a fault about; resolves when it is undone. */
export type FaultHandler = (call: FaultCall) => Promise<void>;
