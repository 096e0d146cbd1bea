/**
 * Outcomes as values: a call that can fail says so in its type. Only broken
 * invariants throw.
 */

/** Success with a value, or failure with a typed error. */
export type Outcome<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly err: E};

/**
 * @param value - The value to carry.
 * @returns A success.
 */
export function success<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/**
 * @param err - The error to carry.
 * @returns A failure.
 */
export function failure<E>(err: E): {readonly ok: false; readonly err: E} {
  return {ok: false, err};
}

/** Thrown when the program itself is wrong; it stops the process. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Stops the process when an invariant is broken.
 *
 * @param condition - What must hold.
 * @param message - What it means when it does not.
 * @throws InvariantError when `condition` is false.
 */
export function invariant(
  condition: unknown,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
