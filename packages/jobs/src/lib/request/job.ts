/** Batch jobs as the rest of the package knows them. */

/** One item as it was handed in. */
export interface JobItem {
  readonly id: string;
  /** Path and query at a target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Tokens of the prompt and of the longest answer, together. */
  readonly tokens: number;
}

/**
 * Callers choose the ids of their jobs, and two client accounts may choose the same:
 * each account has its own jobs, and reaches no others.
 *
 * @param account - The client account; undefined: there are none.
 * @param callerId - As the caller names the job.
 * @returns The job's id in the store and in the log.
 */
export function jobIdOf(account: string | undefined, callerId: string): string {
  if (account === undefined) return callerId;
  return `${encodeURIComponent(account)}:${callerId}`;
}

/** A batch job as it was handed in. */
export interface JobSubmission {
  readonly id: string;
  /** The client account under which its items run; undefined: there are none. */
  readonly account: string | undefined;
  /** The host name by which it came, and by which its items go on. */
  readonly hostName: string;
  readonly items: readonly JobItem[];
  /** When its results are due after it was handed in, in milliseconds. */
  readonly completionGoalMs: number;
  /** When its items may be given up, in milliseconds. */
  readonly retentionMs: number;
  /** After how many failed runs an item is given up. */
  readonly maxAttempts: number;
}

/** What became of an item. */
export interface ItemResult {
  readonly id: string;
  readonly state: 'succeeded' | 'failed';
  /** The data of all events, joined by line feeds; empty where it failed. */
  readonly text: string;
}

/** Results of a job from one position on. */
export interface ResultPage {
  readonly total: number;
  /** The position behind the last one returned. */
  readonly next: number;
  readonly results: readonly ItemResult[];
}
