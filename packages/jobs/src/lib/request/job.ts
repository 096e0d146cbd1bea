/** Data model of batch jobs, shared by the rest of the package. */

/** One item as submitted. */
export interface JobItem {
  readonly id: string;
  /** Path and query of the request to a target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Tokens of the prompt plus the maximum number of tokens of the response. */
  readonly tokens: number;
}

/**
 * Computes the ID of a job in the store. Callers choose the IDs of their jobs,
 * and two client accounts may choose the same one: the account is part of the
 * ID, so that an account cannot reach jobs of others.
 *
 * @param account - Name of the client account; undefined if the deployment has
 *   no accounts.
 * @param callerId - ID of the job as chosen by the caller.
 * @returns The job's ID in the store and in the log.
 */
export function jobIdOf(account: string | undefined, callerId: string): string {
  if (account === undefined) return callerId;
  return `${encodeURIComponent(account)}:${callerId}`;
}

/** A batch job as submitted. */
export interface JobSubmission {
  readonly id: string;
  /**
   * Client account under which the items run; undefined if there are no
   * accounts.
   */
  readonly account: string | undefined;
  /**
   * Host name under which the job was submitted; its items are sent under it
   * too.
   */
  readonly hostName: string;
  readonly items: readonly JobItem[];
  /** Time from acceptance until the results are due, in milliseconds. */
  readonly completionGoalMs: number;
  /** Time from acceptance after which pending items fail, in milliseconds. */
  readonly retentionMs: number;
  /** Number of failed runs after which an item fails. */
  readonly maxAttempts: number;
}

/** Outcome of an item. */
export interface ItemResult {
  readonly id: string;
  readonly state: 'succeeded' | 'failed';
  /** Data of all events, joined by line feeds; empty if the item failed. */
  readonly text: string;
}

/** Results of a job, starting at a given position. */
export interface ResultPage {
  readonly total: number;
  /** Position after the last result of the page. */
  readonly next: number;
  readonly results: readonly ItemResult[];
}
