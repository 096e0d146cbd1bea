/**
 * Cheap steps of machines without context. A step of xstate takes some 35 µs,
 * so cancelling 61,000 items in one turn would hold up the event loop for two
 * seconds. Such a machine is a finite table: each cell is worked out by xstate
 * the first time it is needed, and looked up from then on.
 */

/** A step of a machine: the state after an event. */
export type Step<State extends string, Event> = (
  state: State,
  event: Event,
) => State;

/**
 * @param step - A pure step. Its events hold a type and a few booleans, so
 *     that the table stays small.
 * @returns The same step, each cell worked out once.
 */
export function memoizedStep<State extends string, Event>(
  step: Step<State, Event>,
): Step<State, Event> {
  const cells = new Map<string, State>();
  return (state, event) => {
    const cell = state + JSON.stringify(event);
    const known = cells.get(cell);
    if (known !== undefined) return known;
    const next = step(state, event);
    cells.set(cell, next);
    return next;
  };
}
