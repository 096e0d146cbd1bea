/** Directory of the known targets, by ID and by service. */
import {isDeepStrictEqual} from 'node:util';
import type {Clock, EventLog} from '@oathead/core';
import {LRUCache} from 'lru-cache';
import type {Target} from '../connection/target.js';
import {ServiceVersions} from './service_versions.js';

/** Dependencies of {@link TargetDirectory}. */
export interface TargetDirectoryContext {
  readonly clock: Clock;
  readonly log: EventLog;
  /**
   * Returns how long a software version counts after it has left the list, in
   * milliseconds; see `StreamLifetime`. Without it, versions count for good.
   */
  readonly streamLifetimeMs?: () => number;
}

/**
 * Number of servers whose latest incarnation is remembered after they have left
 * the list: three times the 3,100 targets that the system is designed for.
 */
const MAX_REMEMBERED_INCARNATIONS = 10_000;
/**
 * A longer gap between two reads of the list counts as an outage, in
 * milliseconds. It exceeds the longest wait for a change of the list.
 */
const OUTAGE_MS = 1500;

/** What the list of targets says of the software versions of a service. */
export type VersionView =
  /** One version for the lifetime of a stream, and the list is read now. */
  | {readonly kind: 'only'; readonly softwareVersion: string}
  /** One version, but the list has not been read for that long. */
  | {readonly kind: 'only-lately'; readonly softwareVersion: string}
  /** Several versions within that time. */
  | {readonly kind: 'several'}
  /** No target is listed. */
  | {readonly kind: 'none'}
  /** The list is not read now, so that what it holds may be out of date. */
  | {readonly kind: 'not-read'};

/** Maintains the set of targets from updates of the target list. */
export class TargetDirectory {
  /** Software versions of the listed targets. */
  readonly versions: ServiceVersions;
  private readonly targets = new Map<string, Target>();
  private readonly services = new Map<string, readonly Target[]>();
  private readonly pendingRemovals = new Map<string, Disposable>();
  private readonly removalListeners: Array<(id: string) => void> = [];
  private readonly versionListeners: Array<() => void> = [];
  /** Latest incarnation of each server, listed or not, by server ID. */
  private readonly latestIncarnations = new LRUCache<string, Target>({
    max: MAX_REMEMBERED_INCARNATIONS,
  });
  /** Restart listeners with the target ID that each waits for, by server ID. */
  private readonly restartListeners = new Map<
    string,
    Map<() => void, string>
  >();

  private lastReadAt = -Infinity;
  /** Start of the current period of reads without an outage. */
  private uninterruptedSince = Infinity;

  /** @param context - The clock, and the log for changes. */
  constructor(private readonly context: TargetDirectoryContext) {
    this.versions = new ServiceVersions(
      () => context.clock.now(),
      () => this.streamLifetimeMs,
    );
  }

  /**
   * Records a read of the list; to be called before its entries are applied.
   *
   * @returns Whether an outage preceded this read.
   */
  recordListRead(): boolean {
    const now = this.context.clock.now();
    const isAfterOutage = now - this.lastReadAt > OUTAGE_MS;
    if (isAfterOutage) this.uninterruptedSince = now;
    this.lastReadAt = now;
    return isAfterOutage;
  }

  /**
   * @param id - A target, which is one incarnation of a server.
   * @param forMs - Duration in milliseconds.
   * @returns Whether the target is listed and the list has been read without an
   *     outage for at least that long.
   */
  isListedFor(id: string, forMs: number): boolean {
    return this.isFollowedFor(forMs) && this.targets.has(id);
  }

  /**
   * @param service - A service.
   * @returns The only software version that its targets have had for the
   *     lifetime of a stream; undefined if there were others, or if the list has
   *     not been read without an outage for that long.
   */
  onlyVersion(service: string): string | undefined {
    const view = this.versionView(service);
    return view.kind === 'only' ? view.softwareVersion : undefined;
  }

  /**
   * @param service - A service.
   * @returns What the list says of its software versions, and whether the list
   *     can be relied on.
   */
  versionView(service: string): VersionView {
    if (!this.isFollowedFor(0)) return {kind: 'not-read'};
    const [softwareVersion, ...others] = this.versions.seen(service);
    if (softwareVersion === undefined) return {kind: 'none'};
    if (others.length > 0) return {kind: 'several'};
    const isFollowed = this.isFollowedFor(this.streamLifetimeMs);
    return {kind: isFollowed ? 'only' : 'only-lately', softwareVersion};
  }

  /**
   * Time since the list was read, in milliseconds; undefined if it never was.
   */
  get listAgeMs(): number | undefined {
    const ageMs = this.context.clock.now() - this.lastReadAt;
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  /**
   * @param service - A service.
   * @param softwareVersion - A version of its software.
   * @returns Whether a target of that version accepts new requests.
   */
  hasVersion(service: string, softwareVersion: string): boolean {
    return this.ofService(service).some(
      target => target.softwareVersion === softwareVersion,
    );
  }

  /**
   * @param listener - Called when a software version is listed for a service
   *     that has not had it lately.
   */
  onVersionListed(listener: () => void): void {
    this.versionListeners.push(listener);
  }

  /** @param listener - Called with the ID of each target that is removed. */
  onRemoved(listener: (id: string) => void): void {
    this.removalListeners.push(listener);
  }

  /**
   * Subscribes to the restart of a server while a request waits for one of its
   * incarnations. A server that lost power and came back under the same ID
   * sends no connection reset, so without this signal a request to the earlier
   * incarnation would wait until the caller's deadline.
   *
   * @param target - The incarnation that the request waits for.
   * @param listener - Called when a later incarnation of the server is known.
   * @returns Ends the subscription when disposed.
   */
  onRestarted(target: Target, listener: () => void): Disposable {
    const {serverId} = target;
    const listeners =
      this.restartListeners.get(serverId) ?? new Map<() => void, string>();
    this.restartListeners.set(serverId, listeners);
    listeners.set(listener, target.id);
    return {
      [Symbol.dispose]: () => {
        listeners.delete(listener);
        if (
          listeners.size === 0 &&
          this.restartListeners.get(serverId) === listeners
        )
          this.restartListeners.delete(serverId);
      },
    };
  }

  /** Number of known targets, including draining ones. */
  get size(): number {
    return this.targets.size;
  }

  /** @returns The target with this ID; undefined if it was removed. */
  get(id: string): Target | undefined {
    return this.targets.get(id);
  }

  /** @returns The targets of a service that accept new requests. */
  ofService(service: string): readonly Target[] {
    return this.services.get(service) ?? [];
  }

  /** @returns Total number of slots of the targets of a service. */
  slotsOf(service: string): number {
    const targets = this.ofService(service);
    return targets.reduce((sum, {slots}) => sum + slots, 0);
  }

  /**
   * Adds or updates a target. An entry of an earlier incarnation is ignored.
   *
   * @param target - A target that is new or has changed.
   */
  put(target: Target): void {
    const newest = this.latestIncarnations.get(target.serverId);
    if (newest && isEarlierIncarnation(target, newest)) {
      this.context.log.event('target-stale', {
        target: target.id,
        newest: newest.id,
      });
      return;
    }
    this.cancelRemoval(target.serverId);
    this.latestIncarnations.set(target.serverId, target);
    if (newest && newest.id !== target.id) this.handleRestart(newest, target);
    const known = this.targets.get(target.id);
    // Most updates of an entry do not change the target, and rebuilding the
    // index iterates over up to thousands of targets.
    if (known && isDeepStrictEqual(known, target)) return;
    this.targets.set(target.id, target);
    this.rebuildIndex(target.service);
    if (known && known.service !== target.service)
      this.rebuildIndex(known.service);
    if (known?.leaving === target.leaving) return;
    this.context.log.event(
      target.leaving ? 'target-leaving' : 'target-listed',
      {
        target: target.id,
        service: target.service,
        softwareVersion: target.softwareVersion,
        address: target.address,
      },
    );
  }

  /**
   * Removes a server.
   *
   * With `graceMs`, the target stays in use for that time and the removal is
   * cancelled if its entry reappears. During an outage of the store that holds
   * the list, live targets cannot renew their entries; these expire and are
   * back shortly afterwards, and removing the targets at once would lose them
   * all.
   *
   * @param serverId - ID of the server.
   * @param graceMs - How long the target stays in use, in milliseconds; 0 to
   *     remove it immediately.
   */
  remove(serverId: string, graceMs: number): void {
    const target = this.listedIncarnation(serverId);
    if (!target || this.pendingRemovals.has(serverId)) return;
    if (graceMs === 0) {
      this.removeNow(target, graceMs);
      return;
    }
    const {clock} = this.context;
    this.pendingRemovals.set(
      serverId,
      clock.after(graceMs, () => this.removeNow(target, graceMs)),
    );
  }

  /**
   * Removes the incarnation of a server that another one has replaced, also if
   * the later one is not to be used yet.
   *
   * @param target - The later incarnation.
   */
  removeEarlier(target: Target): void {
    const newest = this.latestIncarnations.get(target.serverId);
    if (!newest || newest.id === target.id) return;
    if (isEarlierIncarnation(target, newest)) return;
    this.latestIncarnations.set(target.serverId, target);
    this.handleRestart(newest, target);
  }

  private listedIncarnation(serverId: string): Target | undefined {
    const newest = this.latestIncarnations.get(serverId);
    return newest && this.targets.get(newest.id);
  }

  private handleRestart(before: Target, now: Target): void {
    const {serverId} = now;
    this.context.log.event('target-restarted', {
      target: now.id,
      before: before.id,
    });
    if (this.targets.has(before.id)) this.removeNow(before, 0);
    for (const [listener, awaitedId] of [
      ...(this.restartListeners.get(serverId) ?? []),
    ])
      if (awaitedId !== now.id) listener();
  }

  private removeNow(target: Target, graceMs: number): void {
    const {id, serverId} = target;
    this.cancelRemoval(serverId);
    const listed = this.targets.get(id);
    if (!listed) return;
    this.targets.delete(id);
    this.rebuildIndex(listed.service);
    this.context.log.event('target-gone', {target: id, graceMs});
    for (const listener of this.removalListeners) listener(id);
  }

  private cancelRemoval(serverId: string): void {
    this.pendingRemovals.get(serverId)?.[Symbol.dispose]();
    this.pendingRemovals.delete(serverId);
  }

  private get streamLifetimeMs(): number {
    return this.context.streamLifetimeMs?.() ?? Infinity;
  }

  private isFollowedFor(forMs: number): boolean {
    const now = this.context.clock.now();
    const isFollowed = now - this.lastReadAt <= OUTAGE_MS;
    return isFollowed && now - this.uninterruptedSince >= forMs;
  }

  private rebuildIndex(service: string): void {
    const listed = [...this.targets.values()].filter(
      target => target.service === service,
    );
    this.services.set(
      service,
      listed.filter(target => !target.leaving),
    );
    const versions = new Set(listed.map(target => target.softwareVersion));
    if (!this.versions.update(service, versions)) return;
    for (const listener of this.versionListeners) listener();
  }
}

/**
 * The entry of an earlier incarnation may arrive after the entry of the live
 * one, because a write that timed out can still be applied by the store seconds
 * later.
 */
function isEarlierIncarnation(
  {startedAtMs}: Target,
  {startedAtMs: newestStartMs}: Target,
): boolean {
  if (startedAtMs === undefined || newestStartMs === undefined) return false;
  return startedAtMs < newestStartMs;
}
