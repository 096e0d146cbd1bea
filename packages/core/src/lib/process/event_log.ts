/**
 * Structured logging for the decision logic: one event for each decision that
 * affects a request or changes the state that the process acts on.
 */

/** Fields of an event: flat values that a log query can filter by. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
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
