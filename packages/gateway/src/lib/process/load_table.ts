/**
 * Requests in flight at each target: those of this host, and those that other
 * hosts and data centres have last reported. Their sum replaces load probes of
 * the targets, each of which would occupy a slot.
 */
import {PendingLoads} from './pending_loads.js';
import type {HostTargetLoad, Lane, TargetLoad} from './target_load.js';

export type {HostTargetLoad, Lane, TargetLoad} from './target_load.js';

/** Requests of one host in flight, by load key of the target. */
export type HostLoad = ReadonlyMap<string, HostTargetLoad>;

/**
 * Last report of another host, or the sum that another data centre has
 * reported.
 */
interface ReportedLoad {
  readonly load: HostLoad;
  readonly receivedAt: number;
}

/** Sum of the loads of all hosts of a data centre, as known to one of them. */
export interface DataCentreLoad {
  readonly dataCentre: string;
  /** Number of hosts in the sum. */
  readonly hosts: number;
  readonly load: HostLoad;
}

interface ReportedDataCentre extends ReportedLoad {
  readonly hosts: number;
}

/**
 * Time without a report after which a host counts as idle, in milliseconds:
 * three of the reports that are sent while the load does not change.
 */
export const LOAD_REPORT_LIFETIME_MS = 3000;
/**
 * A sum is ignored if it covers less than this share of the hosts of the sum
 * before it; see {@link SUM_PRECEDENCE_MS}.
 */
const MIN_SUM_HOSTS_SHARE = 0.75;
/**
 * How long a sum takes precedence over one that covers far fewer hosts, in
 * milliseconds: three of the intervals at which sums are reported.
 */
const SUM_PRECEDENCE_MS = 1000;
/**
 * A host's report includes the pending changes that are at least this old, in
 * milliseconds: some round trips inside a data centre.
 */
const REPORTED_AFTER_MS = 30;
/**
 * The report of another data centre includes the pending changes that are at
 * least this old, in milliseconds. By then its coordinator has received them.
 */
const REMOTE_REPORTED_AFTER_MS = 80;
/** Age at which a pending change is dropped in any case, in milliseconds. */
const PENDING_LIFETIME_MS = 500;

const NO_LOAD: TargetLoad = {online: 0, batch: 0};

/**
 * Loads by target, kept up to date by {@link begin} and {@link applyReport}.
 */
export class LoadTable {
  private readonly own = new Map<string, HostTargetLoad>();
  private readonly otherHosts = new Map<string, ReportedLoad>();
  private readonly dataCentres = new Map<string, ReportedDataCentre>();
  private readonly pending = new PendingLoads();
  private readonly pendingRemote = new PendingLoads();
  private readonly totals = new Map<string, TargetLoad>();
  private readonly listeners: Array<() => void> = [];

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** @param listener - Called whenever a load may have changed. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Counts a request of this host.
   *
   * @param targetKey - Load key of the target.
   * @param lane - Lane of the request.
   * @returns Ends the count of the request when disposed.
   */
  begin(targetKey: string, lane: Lane): Disposable {
    this.countOwn(targetKey, lane, 1);
    // A batch item at this target may have to be preempted at once.
    if (lane === 'online') this.notifyListeners();
    return {
      [Symbol.dispose]: () => {
        this.countOwn(targetKey, lane, -1);
        this.notifyListeners();
      },
    };
  }

  /**
   * @param targetKey - Load key of a target with batch items of this host.
   * @param nearlyDone - How many of them are nearly completed.
   */
  markNearlyDone(targetKey: string, nearlyDone: number): void {
    const own = this.own.get(targetKey);
    if (own) this.own.set(targetKey, {...own, nearlyDone});
  }

  /** Requests of this host in flight; targets without any are omitted. */
  get ownLoad(): HostLoad {
    return this.own;
  }

  /**
   * Replaces the load of another host by its latest report.
   *
   * @param host - ID of the host.
   * @param load - All its requests in flight.
   */
  applyReport(host: string, load: HostLoad): void {
    this.removePending(this.pending, host, REPORTED_AFTER_MS);
    this.subtractFromTotals(this.otherHosts.get(host));
    this.otherHosts.set(host, {load, receivedAt: this.now()});
    this.addToTotals(load);
  }

  /**
   * Adds a pending change, which counts until the host reports it.
   *
   * @param host - ID of the host that starts or ends the requests.
   * @param targetKey - Load key of the target.
   * @param lane - Lane of the requests.
   * @param by - Number of requests that start; negative if they end.
   */
  addPendingChange(
    host: string,
    targetKey: string,
    lane: Lane,
    by: number,
  ): void {
    this.recordPendingChange(this.pending, host, targetKey, lane, by);
  }

  /**
   * Adds a pending change by a host of another data centre, which counts until
   * the sum of that data centre includes it.
   *
   * @param dataCentre - Data centre of the host.
   * @param targetKey - Load key of the target.
   * @param lane - Lane of the requests.
   * @param by - Number of requests that start; negative if they end.
   */
  addPendingRemoteChange(
    dataCentre: string,
    targetKey: string,
    lane: Lane,
    by: number,
  ): void {
    this.recordPendingChange(
      this.pendingRemote,
      dataCentre,
      targetKey,
      lane,
      by,
    );
  }

  private recordPendingChange(
    pending: PendingLoads,
    name: string,
    key: string,
    lane: Lane,
    by: number,
  ): void {
    const {online, batch} = pending.add(name, key, lane, by, this.now());
    this.adjustTotal(key, online, batch);
    if (by > 0 && lane === 'online') this.notifyListeners();
  }

  /**
   * Replaces the load of another data centre by its latest sum.
   *
   * A host that has just started or is partitioned from its neighbours knows
   * almost none of their loads, and its sum would make targets look free to a
   * whole data centre for a moment. Such a sum covers few hosts and is ignored
   * if another host has reported a more complete one shortly before.
   *
   * @param sum - Latest sum of another data centre.
   */
  applyDataCentreSum({dataCentre, hosts, load}: DataCentreLoad): void {
    const before = this.dataCentres.get(dataCentre);
    const receivedAt = this.now();
    const isRecent =
      before && receivedAt - before.receivedAt < SUM_PRECEDENCE_MS;
    if (isRecent && hosts < before.hosts * MIN_SUM_HOSTS_SHARE) return;
    this.removePending(
      this.pendingRemote,
      dataCentre,
      REMOTE_REPORTED_AFTER_MS,
    );
    this.subtractFromTotals(before);
    this.dataCentres.set(dataCentre, {load, receivedAt, hosts});
    this.addToTotals(load);
  }

  /**
   * @param dataCentre - Data centre of this host.
   * @returns The sum over this host and all hosts that report individually,
   *     including pending changes.
   */
  dataCentreSum(dataCentre: string): DataCentreLoad {
    const load = new Map<string, HostTargetLoad>(this.own);
    for (const other of this.otherHosts.values())
      for (const [key, more] of other.load)
        load.set(key, sumOf(load.get(key), more));
    for (const {key, online, batch} of this.pending.all())
      load.set(key, sumOf(load.get(key), {online, batch}));
    return {dataCentre, hosts: this.otherHosts.size + 1, load};
  }

  /** @param host - ID of a host that was removed. */
  removeHost(host: string): void {
    this.removePending(this.pending, host, 0);
    this.subtractFromTotals(this.otherHosts.get(host));
    this.otherHosts.delete(host);
  }

  /**
   * Drops all reports, because they are exchanged in another form from now on.
   */
  clearReports(): void {
    for (const host of [...this.otherHosts.keys()]) this.removeHost(host);
    for (const name of [...this.dataCentres.keys()])
      this.removeDataCentre(name);
  }

  /**
   * Drops the loads of hosts and data centres without a report for {@link
   * LOAD_REPORT_LIFETIME_MS}.
   */
  expire(): void {
    for (const pending of [this.pending, this.pendingRemote])
      for (const name of pending.names())
        this.removePending(pending, name, PENDING_LIFETIME_MS);
    const oldest = this.now() - LOAD_REPORT_LIFETIME_MS;
    for (const [host, {receivedAt}] of this.otherHosts)
      if (receivedAt < oldest) this.removeHost(host);
    for (const [name, {receivedAt}] of this.dataCentres)
      if (receivedAt < oldest) this.removeDataCentre(name);
  }

  /** @returns The sum over all hosts. */
  totalAt(targetKey: string): TargetLoad {
    return this.totals.get(targetKey) ?? NO_LOAD;
  }

  /** @returns The load of this host at the target. */
  ownLoadAt(targetKey: string): HostTargetLoad {
    return this.own.get(targetKey) ?? NO_LOAD;
  }

  /**
   * @returns Load of a target by other host, for hosts with batch items there.
   */
  hostsWithItems(targetKey: string): ReadonlyMap<string, HostTargetLoad> {
    return loadsWithItems(this.otherHosts, targetKey);
  }

  /**
   * @returns Load of a target by other data centre, for data centres that
   *     report sums and have batch items there.
   */
  dataCentresWithItems(targetKey: string): ReadonlyMap<string, HostTargetLoad> {
    return loadsWithItems(this.dataCentres, targetKey);
  }

  private removeDataCentre(name: string): void {
    this.subtractFromTotals(this.dataCentres.get(name));
    this.dataCentres.delete(name);
  }

  private countOwn(targetKey: string, lane: Lane, by: number): void {
    const own = this.ownLoadAt(targetKey);
    const next: HostTargetLoad = {...own, [lane]: own[lane] + by};
    if (next.online + next.batch === 0) this.own.delete(targetKey);
    else this.own.set(targetKey, next);
    if (lane === 'online') this.adjustTotal(targetKey, by, 0);
    else this.adjustTotal(targetKey, 0, by);
  }

  /** Removes the pending changes that are at least this old. */
  private removePending(
    pending: PendingLoads,
    name: string,
    olderThanMs: number,
  ): void {
    const reported = pending.removeReported(name, this.now() - olderThanMs);
    for (const {key, online, batch} of reported)
      this.adjustTotal(key, -online, -batch);
  }

  private addToTotals(load: HostLoad): void {
    for (const [key, {online, batch}] of load)
      this.adjustTotal(key, online, batch);
    this.notifyListeners();
  }

  private subtractFromTotals(reported: ReportedLoad | undefined): void {
    if (!reported) return;
    for (const [key, {online, batch}] of reported.load)
      this.adjustTotal(key, -online, -batch);
  }

  private adjustTotal(targetKey: string, online: number, batch: number): void {
    const total = this.totalAt(targetKey);
    const next = {online: total.online + online, batch: total.batch + batch};
    // Checks the lanes separately and not their sum. A holder may report that
    // an item has ended before the pending change for it is removed, and the
    // count of that lane is negative until then.
    const isIdle = next.online === 0 && next.batch === 0;
    if (isIdle) this.totals.delete(targetKey);
    else this.totals.set(targetKey, next);
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function loadsWithItems(
  reports: ReadonlyMap<string, ReportedLoad>,
  targetKey: string,
): ReadonlyMap<string, HostTargetLoad> {
  const loads = new Map<string, HostTargetLoad>();
  for (const [name, {load}] of reports) {
    const targetLoad = load.get(targetKey);
    if (targetLoad && targetLoad.batch > 0) loads.set(name, targetLoad);
  }
  return loads;
}

function sumOf(
  a: HostTargetLoad | undefined,
  b: HostTargetLoad,
): HostTargetLoad {
  if (!a) return {...b, batch: Math.max(0, b.batch)};
  return {
    online: Math.max(0, a.online + b.online),
    batch: Math.max(0, a.batch + b.batch),
    nearlyDone: (a.nearlyDone ?? 0) + (b.nearlyDone ?? 0),
  };
}
