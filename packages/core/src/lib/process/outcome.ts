/**
 * Results as values: a call that can fail declares so in its return type. Only
 * violated invariants throw.
 */

/** Success with a value, or failure with a typed error. */
export type Outcome<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly err: E};

/**
 * @param value - Value of the result.
 * @returns A success.
 */
export function success<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/**
 * @param err - Error of the result.
 * @returns A failure.
 */
export function failure<E>(err: E): {readonly ok: false; readonly err: E} {
  return {ok: false, err};
}

/** Thrown on a programming error; it terminates the process. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Asserts an invariant.
 *
 * @param condition - The condition that must hold.
 * @param message - Describes the violation.
 * @throws InvariantError if `condition` is false.
 */
export function invariant(
  condition: unknown,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
