/** What is in flight at one target, by class of traffic. */

/** Traffic class. Online requests have priority over items of batch jobs. */
export type Lane = 'online' | 'batch';

/** Number of requests in flight at one target. */
export interface TargetLoad {
  readonly online: number;
  readonly batch: number;
}

/** Number of requests of one host in flight at one target. */
export interface HostTargetLoad extends TargetLoad {
  /**
   * Number of batch items that are nearly completed and therefore preempted
   * last; 0 if omitted.
   */
  readonly nearlyDone?: number;
}
