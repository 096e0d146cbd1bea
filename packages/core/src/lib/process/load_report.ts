/** What a target process tells its entries about itself. */

/** A model version that a target can serve right now, or is loading. */
export interface ServedVersion {
  /** The model or plain service. */
  readonly pool: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: 'loading' | 'ready' | 'unloading' | 'failed';
}

/** Load as of now; every number is the target process's own count. */
export interface LoadReport {
  readonly targetId: string;
  readonly dataCentre: string;
  /** Counts up with each report of one boot; an older one is ignored. */
  readonly sequence: number;
  /** Takes no new work. */
  readonly leaving: boolean;
  readonly cfgRevision: number;
  readonly versions: readonly ServedVersion[];
  readonly onlineRunning: number;
  readonly onlineQueued: number;
  /** Online requests that may run at once, as measured now. */
  readonly onlineCapacity: number;
  readonly batchRunning: number;
  readonly batchQueued: number;
  /** Further batch items that the target would take now. */
  readonly batchRoom: number;
  /** Tokens still to be prefilled, of all running requests. */
  readonly prefillTokens: number;
  /** Measured time of one engine step, in milliseconds. */
  readonly stepMs: number;
  /** The engine does not answer. */
  readonly engineDown: boolean;
}
