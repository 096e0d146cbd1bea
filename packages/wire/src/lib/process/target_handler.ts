/** The interface that a target process implements for its remote callers. */
import type {
  Answer,
  LoadReport,
  ServeEvent,
  ServeOutcome,
  TargetLink,
  Work,
} from '@oathead/core';
import type {Attachment} from '../request/attachment.js';

/** Identifies the target process on a connection. */
export interface Hello {
  readonly targetId: string;
  /** Unique to each start of the target process. */
  readonly bootId: string;
}

/** The answer to a keyed request that its entry has not released yet. */
export interface HeldAnswer {
  readonly dedupeKey: string;
  /** Id of the request. */
  readonly id: string;
  readonly caller: string;
  readonly work: Work;
  readonly answer: Answer;
}

/** The outcome of a keyed request, as stored by a target process. */
export interface RecalledOutcome {
  /** Fingerprint of the requested work. */
  readonly work: string;
  readonly outcome: ServeOutcome;
}

/** A target link that also gives load reports, held answers and outcomes. */
export interface ReportingLink extends TargetLink {
  /**
   * Subscribes to load reports. The target sends one when its load has changed,
   * at a bounded rate.
   *
   * @param signal - Ends the subscription.
   * @returns The reports in order; the first one is sent immediately.
   * @throws LinkLostError if the connection is lost.
   */
  reports(signal: AbortSignal): AsyncIterable<LoadReport>;
  /**
   * Notifies the target process that the outcomes of keyed requests have been
   * written, so that it no longer needs to hold them.
   *
   * @param dedupeKeys - The keys of the requests.
   * @throws LinkLostError if the connection is lost.
   */
  release(dedupeKeys: readonly string[]): Promise<void>;
  /**
   * Fetches the answers that an entry has not released. The entry that takes
   * over from a failed entry writes them in its place and releases them.
   *
   * @param entryId - The entry that sent the requests.
   * @param signal - Aborts the call.
   * @returns The held answers.
   * @throws LinkLostError if the connection is lost.
   */
  held(entryId: string, signal: AbortSignal): AsyncIterable<HeldAnswer>;
  /**
   * Fetches the outcome of a keyed request. If a run of the request is in
   * progress, waits for its end; never starts a run.
   *
   * @param dedupeKey - The key of the request.
   * @param signal - Aborts the call.
   * @returns The outcome, or undefined if the key is unknown.
   * @throws LinkLostError if the connection is lost.
   */
  recall(
    dedupeKey: string,
    signal: AbortSignal,
  ): Promise<RecalledOutcome | undefined>;
  /**
   * @param signal - Aborts the call.
   * @returns Fingerprints of some of the prompt prefixes in the cache of the
   *     engine, most recently stored first.
   * @throws LinkLostError if the connection is lost.
   */
  cachedPrefixes(signal: AbortSignal): Promise<readonly string[]>;
}

/**
 * Handles the calls to a target process. Aborting `serve` or `attach` with a
 * `LinkLostError` as the reason means that the connection broke: the request
 * then continues to run for a short grace period, so that the link can reattach
 * to it. Any other reason, and an early end of the iteration, cancels the
 * request immediately.
 */
export interface TargetHandler extends ReportingLink {
  /** @returns The identity of the target process. */
  hello(): Hello;
  /**
   * Resumes the stream of a request that was sent over a connection that has
   * since broken. Never starts a request: one that has not arrived is refused
   * as not run and is not started if it arrives later.
   *
   * @param attachment - The request and the position in its stream.
   * @param signal - Ends the stream.
   * @returns The events behind that position.
   */
  attach(
    attachment: Attachment,
    signal: AbortSignal,
  ): AsyncIterable<ServeEvent>;
}
