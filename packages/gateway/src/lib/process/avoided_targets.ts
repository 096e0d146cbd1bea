/**
 * Tracks targets that several hosts have reported as failing.
 *
 * A crashed target that refuses connections has the lowest load of all, so in a
 * burst with many crashes every host of a data centre selects it again and
 * again. The coordinator therefore avoids targets that several hosts report. A
 * report from a single host is not enough, because that host may be partitioned
 * from a target that serves all others.
 */

/** Number of hosts that must report a target before it is avoided. */
const MIN_REPORTING_HOSTS = 2;
/**
 * How long a report counts, in milliseconds: several of the suspension pauses
 * after which a host retries the target.
 */
const REPORT_LIFETIME_MS = 500;

/** Collects host reports about failing targets. */
export class AvoidedTargets {
  /** Time of each host's latest report, by target ID and host. */
  private readonly reports = new Map<string, Map<string, number>>();

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /**
   * Records that targets have failed a host.
   *
   * @param host - The reporting host.
   * @param targetIds - IDs of the targets that failed it.
   */
  report(host: string, targetIds: readonly string[]): void {
    for (const id of targetIds) {
      const hosts = this.reports.get(id) ?? new Map<string, number>();
      this.reports.set(id, hosts.set(host, this.now()));
    }
  }

  /** @returns IDs of targets to avoid as long as others have free slots. */
  avoidedIds(): readonly string[] {
    this.expire();
    return [...this.reports]
      .filter(([, hosts]) => hosts.size >= MIN_REPORTING_HOSTS)
      .map(([id]) => id);
  }

  private expire(): void {
    const oldest = this.now() - REPORT_LIFETIME_MS;
    for (const [id, hosts] of this.reports) {
      for (const [host, at] of hosts) if (at < oldest) hosts.delete(host);
      if (hosts.size === 0) this.reports.delete(id);
    }
  }
}
