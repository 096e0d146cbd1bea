/** One incarnation of a target server, as the list of targets describes it. */

/** A target that requests can be sent to. */
export interface Target {
  /**
   * Identifies this incarnation of the server. Connections, load, health and
   * suspensions are kept by this ID, so that they never apply to a later
   * incarnation.
   */
  readonly id: string;
  /**
   * ID under which the server registers itself. A later incarnation may use the
   * same ID.
   */
  readonly serverId: string;
  /**
   * When this incarnation started, by the server's wall clock in Unix
   * milliseconds; undefined if the server does not report it. Such a server has
   * a new `serverId` after each start.
   */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /**
   * Version of the server's software. What targets of two versions stream for
   * one request does not fit together.
   */
  readonly softwareVersion: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Maximum number of requests that the target runs concurrently. */
  readonly slots: number;
  /**
   * Whether the target is draining: it finishes its current requests and is
   * sent no new ones.
   */
  readonly leaving: boolean;
}
