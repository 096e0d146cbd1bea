/**
 * Structured logging for the decision logic: one event for each decision that
 * affects a request or changes the state that the process acts on.
 */

type EventValue = string | number | boolean | undefined;

/**
 * Fields of an event: values that a log query can filter by, or lists of texts
 * or of flat records.
 */
export type EventFields = Readonly<
  Record<
    string,
    | EventValue
    | readonly string[]
    | ReadonlyArray<Readonly<Record<string, EventValue>>>
  >
>;

/** Receiver of log events. Writing never blocks and never fails. */
export interface EventLog {
  /**
   * Writes one event.
   *
   * @param name - Name of the event in kebab-case, the same in each process.
   * @param fields - Inputs of the decision, their age or version, and the
   *     outcome.
   */
  event(name: string, fields?: EventFields): void;
}

/** A log that discards all events. */
export const NO_EVENT_LOG: EventLog = {event: () => {}};
