/**
 * Decides whether a response on a connection belongs to the request that was
 * sent on it last. A target may send a response once more, late, at the point
 * where the next response is expected.
 */

/** Why it is uncertain which request a response belongs to. */
export type UnattributedReason =
  /** It bears the ID of another request. */
  | 'other-id'
  /** It bears no ID, and an earlier request may have caused it. */
  | 'no-id';

/** What the log says of a response that can't be attributed. */
export const UNATTRIBUTED_TEXT: Readonly<Record<UnattributedReason, string>> = {
  'other-id': 'answer to another request',
  'no-id': 'answer without a request id',
};

/** What is known of a response and its connection. */
export interface ResponseOrigin {
  /** ID in the response; undefined if it bears none. */
  readonly responseId: string | undefined;
  /** ID of the request that was sent last; undefined if it has none. */
  readonly requestId: string | undefined;
  /** Whether the connection has carried no other request. */
  readonly isFirstRequest: boolean;
  /** Whether the status of the response is a success. */
  readonly success: boolean;
}

/**
 * The ID is compared for every status: a refusal or failure of another request
 * misleads the caller as much as a success. A success always bears the ID; a
 * target may refuse a request before it has read the ID.
 *
 * @param origin - What is known of the response and its connection.
 * @returns Why the response can't be attributed to the request; undefined if it
 *     certainly belongs to it.
 */
export function unattributedReason({
  responseId,
  requestId,
  isFirstRequest,
  success,
}: ResponseOrigin): UnattributedReason | undefined {
  if (responseId === undefined)
    return isFirstRequest && !success ? undefined : 'no-id';
  return responseId === requestId ? undefined : 'other-id';
}
