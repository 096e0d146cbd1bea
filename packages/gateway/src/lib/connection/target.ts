/** One run of a target's server, as the list of targets describes it. */

/** A target that requests can be sent to. */
export interface Target {
  /** New with each start of the target's server. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** How many requests it runs at once. */
  readonly slots: number;
  /** A leaving target finishes what it has and gets nothing new. */
  readonly leaving: boolean;
}
