/** One request of a load, as its sender sees it. */

/** How a request of a load ended. */
export type SendOutcome =
  | {readonly kind: 'done'}
  | {readonly kind: 'refused'; readonly refusal: string; readonly ran: string}
  /** The answer was cut, or could not be read. */
  | {readonly kind: 'broken'; readonly message: string};

/** Told of each part of an answer as it comes. */
export type OnPart = () => void;

/**
 * Sends one request and reads its answer. It never rejects.
 *
 * @param index - Counts the requests of a load from 0.
 * @param onPart - Told of each part that carries text.
 * @param signal - Gives up.
 */
export type Send = (
  index: number,
  onPart: OnPart,
  signal: AbortSignal,
) => Promise<SendOutcome>;
