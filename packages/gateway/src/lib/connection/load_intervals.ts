/**
 * Computes how often a host sends load reports and to which hosts, so that its
 * message rate stays bounded regardless of the number of hosts. Hosts of the
 * same data centre share most of their targets, so they are updated more often
 * than hosts of other data centres.
 *
 * On a large fleet, direct reports from each host to each other host would make
 * the loads of other data centres as old as a burst is long. Remote targets
 * would look free while they fill up, and requests would queue there behind
 * other requests and batch items. A sum for a whole data centre needs one
 * message for each other data centre instead of one for each of its hosts.
 */

/** Limits for the rate of load reports. */
export interface LoadRateOptions {
  /** Minimum interval between two reports to the same host, in milliseconds. */
  readonly periodMs: number;
  /** Maximum number of datagrams that one host sends per second. */
  readonly maxDatagramsPerSecond: number;
}

/** Rate limits, and parameters of relaying between data centres. */
export interface LoadPlanOptions extends LoadRateOptions {
  /**
   * Maximum interval of direct reports to other data centres, in milliseconds.
   * If the rate limit requires a longer interval, a sum for the data centre is
   * relayed instead.
   */
  readonly maxDirectRemoteMs: number;
  /**
   * Interval at which a host sends the sum of its data centre to each other
   * data centre, in milliseconds.
   */
  readonly relayMs: number;
}

/** How a host distributes load reports. */
export type LoadPlan =
  /** Sends its own load to each other host. */
  | ({readonly kind: 'direct'} & LoadIntervals)
  /**
   * Sends its own load to the hosts of its data centre, and the sum for its
   * data centre to one host of each other data centre.
   */
  | {
      readonly kind: 'relayed';
      readonly localMs: number;
      readonly relayMs: number;
    };

/** Minimum intervals between two reports to the same host, in milliseconds. */
export interface LoadIntervals {
  /** Interval for hosts of the same data centre. */
  readonly localMs: number;
  /** Interval for hosts of other data centres. */
  readonly remoteMs: number;
}

/** Maximum share of the datagram rate that is used for the own data centre. */
const MAX_LOCAL_SHARE = 0.8;
const MS_PER_SECOND = 1000;

/**
 * @param localHosts - Number of other hosts in the own data centre.
 * @param remoteHosts - Number of hosts in all other data centres.
 * @param options - Rate limit and minimum interval.
 * @returns Report intervals that stay within the rate limit.
 */
export function loadIntervals(
  localHosts: number,
  remoteHosts: number,
  {periodMs, maxDatagramsPerSecond}: LoadRateOptions,
): LoadIntervals {
  const uniformMs = intervalMs(localHosts + remoteHosts, maxDatagramsPerSecond);
  if (uniformMs <= periodMs) return {localMs: periodMs, remoteMs: periodMs};
  const localShare = remoteHosts === 0 ? 1 : MAX_LOCAL_SHARE;
  const localMs = Math.max(
    periodMs,
    intervalMs(localHosts, maxDatagramsPerSecond * localShare),
  );
  const localRate = (localHosts * MS_PER_SECOND) / localMs;
  return {
    localMs,
    remoteMs: intervalMs(remoteHosts, maxDatagramsPerSecond - localRate),
  };
}

/**
 * @param localHosts - Number of other hosts in the own data centre.
 * @param remoteHosts - Number of hosts in all other data centres.
 * @param remoteDataCentres - Number of other data centres that have hosts.
 * @param options - Rate limit and intervals.
 * @returns The distribution to use: direct, or relayed where direct reports to
 *     other data centres would be too infrequent.
 */
export function planLoadReports(
  localHosts: number,
  remoteHosts: number,
  remoteDataCentres: number,
  options: LoadPlanOptions,
): LoadPlan {
  const intervals = loadIntervals(localHosts, remoteHosts, options);
  const {periodMs, maxDatagramsPerSecond, maxDirectRemoteMs, relayMs} = options;
  if (remoteHosts === 0 || intervals.remoteMs <= maxDirectRemoteMs)
    return {kind: 'direct', ...intervals};
  const relayRate = (remoteDataCentres * MS_PER_SECOND) / relayMs;
  const localMs = intervalMs(localHosts, maxDatagramsPerSecond - relayRate);
  return {kind: 'relayed', localMs: Math.max(periodMs, localMs), relayMs};
}

function intervalMs(hosts: number, perSecond: number): number {
  return (hosts * MS_PER_SECOND) / perSecond;
}
