/** Settings of batch jobs. */

/** Settings of batch jobs; times in milliseconds. */
export interface BatchSettings {
  /** Most items of one job. */
  readonly maxItems: number;
  /** Items that are kept, loaded and recorded together. */
  readonly chunkItems: number;
  /** Items of each model or service to have in memory beyond what runs. */
  readonly prefetchItems: number;
  /** Most chunks that an entry holds in memory. */
  readonly maxLoadedChunks: number;
  /** Attempts that may be lost before an item fails. */
  readonly maxLosses: number;
  readonly firstBackoffMs: number;
  readonly maxBackoffMs: number;
  /** Longest pause of an item that no engine has seen. */
  readonly maxReturnBackoffMs: number;
  /** Outcomes are recorded once there are so many ... */
  readonly recordOutcomes: number;
  /** ... or the oldest has waited so long ... */
  readonly recordMs: number;
  /** ... but never more often than this, unless a chunk ends. */
  readonly recordPauseMs: number;
  /** Most outcomes in memory while the store cannot be written. */
  readonly maxUnrecorded: number;
  /** How long chunks go on while the store is down and the lease has lapsed. */
  readonly outageRunMs: number;
  /** How often the scheduler looks around without being woken. */
  readonly pumpMs: number;
  /** How often the end of a job is looked for. */
  readonly closeMs: number;
  /** How long an aborted item of a cancelled job may take to end. */
  readonly cancelMs: number;
  /** How long running items may finish before a share goes or the entry stops. */
  readonly drainMs: number;
}

/** Defaults. */
export const BATCH_DEFAULTS: BatchSettings = {
  maxItems: 100_000,
  chunkItems: 128,
  prefetchItems: 256,
  maxLoadedChunks: 32,
  maxLosses: 4,
  firstBackoffMs: 250,
  maxBackoffMs: 30_000,
  maxReturnBackoffMs: 2_000,
  recordOutcomes: 32,
  recordMs: 30_000,
  recordPauseMs: 2_000,
  maxUnrecorded: 2_000,
  outageRunMs: 300_000,
  pumpMs: 500,
  closeMs: 3_000,
  cancelMs: 2_000,
  drainMs: 10_000,
};
