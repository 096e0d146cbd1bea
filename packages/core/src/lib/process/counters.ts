/**
 * Counters as the decisions see them. The daemons pass counters that appear at
 * `/metrics`; tests pass a map or nothing.
 */

/** Labels of a counter: a few values each, never a caller's text. */
export type Labels = Readonly<Record<string, string>>;

/** Where events are counted. */
export interface Counters {
  /**
   * @param name - The counter, in snake_case, without prefix or `_total`.
   * @param labels - What tells this event from others of the name.
   * @param by - How much to add; 1 by default.
   */
  count(name: string, labels?: Labels, by?: number): void;
}

/** Counters that forget. */
export const NO_COUNTERS: Counters = {count: () => {}};
