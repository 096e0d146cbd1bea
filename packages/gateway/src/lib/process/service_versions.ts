/**
 * Software versions of the targets of each service, as listed now and as long
 * ago as streams that began there may still be taken up.
 */

const NO_VERSIONS: ReadonlySet<string> = new Set();

/** The versions by service. */
export class ServiceVersions {
  private readonly current = new Map<string, ReadonlySet<string>>();
  /** Time at which a version was first listed, by service and version. */
  private readonly listedAt = new Map<string, Map<string, number>>();
  /** Time at which a version left the list, by service and version. */
  private readonly leftAt = new Map<string, Map<string, number>>();

  /**
   * @param now - Returns the monotonic time, in milliseconds.
   * @param lifetimeMs - Returns how long a version counts after it has left the
   *     list, in milliseconds; see `StreamLifetime`.
   */
  constructor(
    private readonly now: () => number,
    private readonly lifetimeMs: () => number,
  ) {}

  /**
   * @param service - A service.
   * @param listed - Versions of all targets that are listed for it now.
   * @returns Whether one of them was not among {@link seen} before.
   */
  update(service: string, listed: ReadonlySet<string>): boolean {
    const seen = this.seen(service);
    const before = this.listed(service);
    const left = this.leftAt.get(service) ?? new Map<string, number>();
    for (const version of before)
      if (!listed.has(version)) left.set(version, this.now());
    for (const version of listed) left.delete(version);
    this.current.set(service, listed);
    this.leftAt.set(service, left);
    this.recordListed(service, listed);
    return [...listed].some(version => !seen.has(version));
  }

  /** @returns The versions of the targets that are listed for a service. */
  listed(service: string): ReadonlySet<string> {
    return this.current.get(service) ?? NO_VERSIONS;
  }

  /**
   * @returns The versions that have been listed for a service within the
   *     lifetime of a stream.
   */
  seen(service: string): ReadonlySet<string> {
    const left = this.leftAt.get(service);
    if (!left || left.size === 0) return this.listed(service);
    const since = this.now() - this.lifetimeMs();
    for (const [version, at] of left) if (at < since) left.delete(version);
    return new Set([...this.listed(service), ...left.keys()]);
  }

  /** @returns The versions of {@link seen} of all services. */
  allSeen(): ReadonlyArray<{
    readonly service: string;
    readonly softwareVersion: string;
  }> {
    return [...this.current.keys()].flatMap(service =>
      [...this.seen(service)].map(softwareVersion => ({
        service,
        softwareVersion,
      })),
    );
  }

  /**
   * @param service - A service.
   * @returns For how long this host has known the versions that have been listed
   *     within the lifetime of a stream, in milliseconds.
   */
  knownForMs(service: string): ReadonlyMap<string, number> {
    const now = this.now();
    const since = this.listedAt.get(service);
    const seen = [...this.seen(service)];
    return new Map(seen.map(version => [version, now - since!.get(version)!]));
  }

  private recordListed(service: string, listed: ReadonlySet<string>): void {
    const known = this.listedAt.get(service);
    const now = this.now();
    const seen = [...this.seen(service), ...listed];
    const since = seen.map(
      version => [version, known?.get(version) ?? now] as const,
    );
    this.listedAt.set(service, new Map(since));
  }
}
