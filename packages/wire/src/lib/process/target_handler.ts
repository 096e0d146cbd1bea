/** What a target process answers over the wire. */
import type {
  Answer,
  LoadReport,
  ServeEvent,
  ServeOutcome,
  TargetLink,
  Work,
} from '@oathead/core';
import type {Attachment} from '../request/attachment.js';

/** Tells a link which process answers at the other end. */
export interface Hello {
  readonly targetId: string;
  /** Changes with each start of the target process. */
  readonly bootId: string;
}

/** A keyed request's answer that its entry has not released. */
export interface HeldAnswer {
  readonly dedupeKey: string;
  /** The request. */
  readonly id: string;
  readonly caller: string;
  readonly work: Work;
  readonly answer: Answer;
}

/** The outcome of a key, as a target process remembers it. */
export interface RecalledOutcome {
  /** Fingerprint of the work that was asked for. */
  readonly work: string;
  readonly outcome: ServeOutcome;
}

/** A link on which the target reports its load without being asked. */
export interface ReportingLink extends TargetLink {
  /**
   * Load reports, pushed when something has changed, at a bounded rate.
   *
   * @param signal - Ends the reports.
   * @returns Reports in order; the first one comes at once.
   * @throws LinkLostError
   */
  reports(signal: AbortSignal): AsyncIterable<LoadReport>;
  /**
   * Tells that the outcomes of keyed requests are written, so that the target
   * process need not hold them any longer.
   *
   * @param dedupeKeys - The keys of the requests.
   * @throws LinkLostError
   */
  release(dedupeKeys: readonly string[]): Promise<void>;
  /**
   * Asks for answers that an entry has not released. Whoever takes over from an
   * entry that died writes them in its place, and releases them.
   *
   * @param entryId - The entry that sent the requests.
   * @param signal - Gives up.
   * @returns The answers.
   * @throws LinkLostError
   */
  held(entryId: string, signal: AbortSignal): AsyncIterable<HeldAnswer>;
  /**
   * Asks for the outcome of one key, waiting for the end of a run of it. It
   * never starts one.
   *
   * @param dedupeKey - The key.
   * @param signal - Gives up.
   * @returns Undefined where the key is not known.
   * @throws LinkLostError
   */
  recall(
    dedupeKey: string,
    signal: AbortSignal,
  ): Promise<RecalledOutcome | undefined>;
  /**
   * @param signal - Gives up.
   * @returns Fingerprints of some prompt prefixes that the engine has cached,
   *     those stored last first.
   * @throws LinkLostError
   */
  cachedPrefixes(signal: AbortSignal): Promise<readonly string[]>;
}

/**
 * The target process as the wire sees it. Aborting `serve` or `attach` with a
 * `LinkLostError` as the reason tells that the connection broke: the request
 * then runs on for a short grace, so that the link can attach again. Any other
 * reason, and an early end of the iteration, cancels it at once.
 */
export interface TargetHandler extends ReportingLink {
  hello(): Hello;
  /**
   * Goes on with a request that was sent over a connection now broken. It
   * never starts one: a request that hasn't arrived is refused as not run and
   * will not be started if it arrives later.
   *
   * @param attachment - The request and what has come of its answer.
   * @param signal - Ends the stream.
   * @returns What is still to come of the answer.
   */
  attach(
    attachment: Attachment,
    signal: AbortSignal,
  ): AsyncIterable<ServeEvent>;
}
