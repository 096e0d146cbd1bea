/**
 * Structured logs as the decisions see them: one event for each decision that
 * touches a request or changes what the process believes.
 */

/** What an event carries: flat values that a log search can filter by. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** Where events are written. Writing never blocks and never fails. */
export interface EventLog {
  /**
   * @param name - The event, in kebab-case, the same in each process.
   * @param fields - The inputs that decided, their age or version, the outcome.
   */
  event(name: string, fields?: EventFields): void;
}

/** A log that forgets. */
export const NO_EVENT_LOG: EventLog = {event: () => {}};
