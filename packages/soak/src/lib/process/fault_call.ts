/** What a handler of a fault is given. */
import type {Random} from '@oathead/core';
import type {OnlineLoad} from '../request/online_load.js';
import type {SoakFleet} from './soak_fleet.js';

/** What a fault strikes, and for how long. */
export interface FaultCall {
  readonly fleet: SoakFleet;
  /** Sends requests that are recorded, and takes streams up. */
  readonly online: Pick<OnlineLoad, 'once' | 'overLine'>;
  readonly random: Random;
  readonly forMs: number;
  /** Whether nothing but planned work goes on meanwhile. */
  readonly isAlone: boolean;
}

/** Brings a fault about; resolves when it is undone. */
export type FaultHandler = (call: FaultCall) => Promise<void>;
