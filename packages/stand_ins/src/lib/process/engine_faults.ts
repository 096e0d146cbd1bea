/** Switches that make an engine stand-in fail, and the record of what it ran. */

/** Faults of an engine; all off by default. */
export interface EngineFaults {
  /** Takes no request, and says so. */
  readonly refuses: boolean;
  /** Takes requests and never says anything. */
  readonly hangs: boolean;
  /** Breaks each stream after so many tokens of its own. */
  readonly breaksAfterTokens: number;
  /** Steps take so many times as long. */
  readonly slowdown: number;
}

/** An engine without faults. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  refuses: false,
  hangs: false,
  breaksAfterTokens: Infinity,
  slowdown: 1,
};

/** What an engine did with one request id. */
export interface EngineRuns {
  /** Times that the engine took it. */
  readonly started: number;
  /** Times that it was answered whole. */
  readonly done: number;
  /** Times that it failed for good. */
  readonly failed: number;
  /** Times that it was cancelled or that its stream broke. */
  readonly cut: number;
}

/** A record without any run. */
export const NO_RUNS: EngineRuns = {started: 0, done: 0, failed: 0, cut: 0};
