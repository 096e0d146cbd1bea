/**
 * Counters for the decision logic. The daemons pass counters that are exported
 * at `/metrics`; tests pass a map or {@link NO_COUNTERS}.
 */

/**
 * Labels of a counter. Each label has few values, and never text from a caller.
 */
export type Labels = Readonly<Record<string, string>>;

/** Receiver of counter increments. */
export interface Counters {
  /**
   * Increments a counter.
   *
   * @param name - Name of the counter in snake_case, without prefix or
   *     `_total`.
   * @param labels - Labels that distinguish this event from others of the name.
   * @param by - Increment; 1 by default.
   */
  count(name: string, labels?: Labels, by?: number): void;
}

/** Counters that discard all increments. */
export const NO_COUNTERS: Counters = {count: () => {}};
