/** One run of a target's server, as the list of targets describes it. */

/** A target that requests can be sent to. */
export interface Target {
  /** Names this run of the server: what is kept by it (connections, load, health,
   * suspensions) never counts for a later run. */
  readonly id: string;
  /** The id under which the server lists itself. A later run may have it again. */
  readonly serverId: string;
  /** When this run began, on the server's time of day in Unix milliseconds;
   * undefined: it says nothing of it, and has a new `serverId` at each start. */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** How many requests it runs at once. */
  readonly slots: number;
  /** A leaving target finishes what it has and gets nothing new. */
  readonly leaving: boolean;
}
