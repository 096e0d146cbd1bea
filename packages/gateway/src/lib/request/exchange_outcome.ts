/** What a request at a target comes to, and what its response is worth. */
import type {IncomingHttpHeaders} from 'node:http';
import {errors} from 'undici';
import type {UnattributedReason} from './attribution.js';
import type {ResponseMetadata} from './target_protocol.js';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Why a failure may be less, or another one, than the target stated. */
export type FailureDoubt =
  /** Its connection ended before its end. */
  | 'incomplete'
  /** It ended with its connection, so that its end may be missing. */
  | 'no-length'
  /** It does not name the request. */
  | 'no-id'
  /** The target does not vouch for it. */
  | 'no-seal'
  /** Its body has a content encoding that was not requested. */
  | 'unasked-coding';

/** A response with its complete body. */
export interface CompleteResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
  /** Set if the target may not have stated this failure. */
  readonly doubt?: FailureDoubt;
}

/** Why the gateway aborted a request. */
export type AbortReason =
  | 'caller-left'
  | 'timeout'
  | 'yield'
  | 'stop'
  /** The target sent nothing for longer than the silence timeout. */
  | 'silent'
  /** The target server was restarted and has lost the request. */
  | 'restarted'
  /** The caller has left too much of its stream unread. */
  | 'caller-slow';

/** Outcome of a request at a target. */
export type ExchangeOutcome =
  /** The target sent a complete response. */
  | ({readonly kind: 'answered'} & CompleteResponse)
  /** A stream was received to its end; the sink received its events. */
  | {readonly kind: 'streamed'; readonly head: ResponseHead}
  /** The target reported that it did not run the request. */
  | {readonly kind: 'declined'; readonly status: number}
  /** No connection could be established, so the request cannot have run. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** The response was invalid or incomplete; the request may have run. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the target sent invalid data, which shows that it is alive. */
      readonly sentInvalidData: boolean;
      /** Set if the response may belong to another request. */
      readonly unattributed?: UnattributedReason;
      /** Status of a failure that is incomplete. */
      readonly failedStatus?: number;
    }
  /** The gateway aborted the request; it may have run. */
  | {
      readonly kind: 'ended';
      readonly by: AbortReason;
      /** Status of a failure that is incomplete. */
      readonly failedStatus?: number;
    };

/**
 * Tells a lost connection or a restarted server, which a crash can cause, from
 * an invalid response of a live target. Without the distinction, a request
 * could be blocked for a minute as the cause of a crash although its target is
 * alive.
 *
 * @param outcome - Outcome of a request of whose response nothing was received.
 * @returns Whether the request may have crashed the target.
 */
export function mayHaveCrashed(outcome: ExchangeOutcome): boolean {
  if (outcome.kind === 'broken') return !outcome.sentInvalidData;
  return outcome.kind === 'ended' && outcome.by === 'restarted';
}

/**
 * Whether a run shows that its request can be answered. A failure does not: a
 * target that is held up or out of order may send it without having begun.
 *
 * @param outcome - Outcome of a request.
 * @returns Whether it is a whole success.
 */
export function isWholeSuccess(outcome: ExchangeOutcome): boolean {
  if (outcome.kind === 'streamed') return true;
  return outcome.kind === 'answered' && isSuccess(outcome.head.status);
}

/**
 * @param head - Status and headers of a complete response.
 * @param metadata - What its headers say.
 * @returns Why the target may not have stated this failure; undefined for a
 *     success and for a failure beyond doubt.
 */
export function failureDoubt(
  head: ResponseHead,
  metadata: ResponseMetadata,
): FailureDoubt | undefined {
  if (isSuccess(head.status)) return undefined;
  if (metadata.requestId === undefined) return 'no-id';
  if (!metadata.sealed) return 'no-seal';
  if (metadata.hasUnexpectedEncoding) return 'unasked-coding';
  return hasFraming(head) ? undefined : 'no-length';
}

/**
 * @param head - Headers of a response.
 * @returns Whether its body has a length or comes in chunks. Otherwise it ends with
 *     its connection.
 */
export function hasFraming({headers}: Pick<ResponseHead, 'headers'>): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/**
 * @param status - Status of a response.
 * @returns Whether it is a success.
 */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/**
 * @param err - Why there is no complete response.
 * @returns Its code, or what it says.
 */
export function reasonOf(err: unknown): string {
  if (err instanceof errors.UndiciError) return err.code;
  if (err instanceof Error && 'code' in err) return String(err.code);
  return String(err);
}
