/**
 * Counters and latencies for the decision logic. The daemons pass receivers that
 * are exported at `/metrics`; tests pass a map, {@link NO_COUNTERS} or
 * {@link NO_LATENCIES}.
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

/** Receiver of latencies. */
export interface Latencies {
  /**
   * Records a latency.
   *
   * @param name - Name of the histogram in snake_case, without prefix or unit.
   * @param ms - Latency in milliseconds.
   * @param labels - Labels that distinguish this latency from others of the
   *     name.
   */
  record(name: string, ms: number, labels?: Labels): void;
}

/** Latencies that are not recorded. */
export const NO_LATENCIES: Latencies = {record: () => {}};
