/** The load report that a target process sends to entry processes. */

/** A version that a target serves, loads or unloads, or failed to load. */
export interface ServedVersion {
  /** Name of the model or plain service. */
  readonly pool: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: 'loading' | 'ready' | 'unloading' | 'failed';
}

/**
 * Current load of a target. All counts are those of the target process, not of
 * its engine.
 */
export interface LoadReport {
  readonly targetId: string;
  readonly dataCentre: string;
  /**
   * Increases with each report of one process incarnation. Receivers ignore
   * reports with a lower number than the last one.
   */
  readonly sequence: number;
  /** Whether the target is draining and accepts no new work. */
  readonly leaving: boolean;
  readonly cfgRevision: number;
  readonly versions: readonly ServedVersion[];
  readonly onlineRunning: number;
  readonly onlineQueued: number;
  /** Online requests that may run concurrently, by current measurements. */
  readonly onlineCapacity: number;
  readonly batchRunning: number;
  readonly batchQueued: number;
  /** Further batch items that the target would accept now. */
  readonly batchRoom: number;
  /** Prompt tokens of running online requests still to be prefilled. */
  readonly prefillTokens: number;
  /**
   * Predicted duration of one engine step with the current online streams, or
   * mean latency of a plain service, in milliseconds. Over several backends,
   * the maximum.
   */
  readonly stepMs: number;
  /** Whether the engine is unresponsive. */
  readonly engineDown: boolean;
}
