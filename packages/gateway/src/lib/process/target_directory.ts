/** The targets that are known, by id and by service. */
import {isDeepStrictEqual} from 'node:util';
import type {Clock, EventLog} from '@oathead/core';
import {LRUCache} from 'lru-cache';
import type {Target} from '../connection/target.js';

/** What a {@link TargetDirectory} needs. */
export interface TargetDirectoryContext {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Servers whose newest run is remembered after it has left the list: three times
 * the 3,100 targets of the design size. */
const MAX_REMEMBERED_RUNS = 10_000;
/** A longer time between two readings of the list is an outage, in milliseconds:
 * beyond the longest wait for a change of it. */
const OUTAGE_MS = 1500;

/** Keeps the list of targets. */
export class TargetDirectory {
  private readonly targets = new Map<string, Target>();
  private readonly services = new Map<string, readonly Target[]>();
  private readonly removals = new Map<string, Disposable>();
  private readonly goneListeners: Array<(id: string) => void> = [];
  /** The newest run of each server, by server id, listed or not. */
  private readonly newestRuns = new LRUCache<string, Target>({
    max: MAX_REMEMBERED_RUNS,
  });
  /** Who waits for the end of a run, by server id. */
  private readonly runEnds = new Map<string, Map<() => void, string>>();

  private readAt = -Infinity;
  /** Since when the list has been read without an outage. */
  private followedSince = Infinity;

  /** @param context - Time, and where changes are written. */
  constructor(private readonly context: TargetDirectoryContext) {}

  /**
   * To be called with each reading of the list, before what it says.
   *
   * @returns Whether there was an outage before it.
   */
  listRead(): boolean {
    const now = this.context.clock.now();
    const afterOutage = now - this.readAt > OUTAGE_MS;
    if (afterOutage) this.followedSince = now;
    this.readAt = now;
    return afterOutage;
  }

  /**
   * @param id - A run of a server.
   * @param forMs - In milliseconds.
   * @returns Whether it is listed, and the list has been read for that long.
   */
  isListedFor(id: string, forMs: number): boolean {
    const now = this.context.clock.now();
    const followed = now - this.readAt <= OUTAGE_MS;
    const longEnough = now - this.followedSince >= forMs;
    return followed && longEnough && this.targets.has(id);
  }

  /** @param listener - Called with the id of each target that is gone. */
  onGone(listener: (id: string) => void): void {
    this.goneListeners.push(listener);
  }

  /**
   * Guards against a wait for a run that is over: a server that lost its power
   * and came back under its id resets nothing, and what was sent to the run
   * before would wait for its answer until the caller's time is over.
   *
   * @param target - The run that is waited for.
   * @param listener - Called when its server is known to run anew.
   * @returns To be disposed when nothing is waited for any more.
   */
  onceRestarted(target: Target, listener: () => void): Disposable {
    const {serverId} = target;
    const waiting = this.runEnds.get(serverId) ?? new Map<() => void, string>();
    this.runEnds.set(serverId, waiting);
    waiting.set(listener, target.id);
    return {
      [Symbol.dispose]: () => {
        waiting.delete(listener);
        if (waiting.size === 0 && this.runEnds.get(serverId) === waiting)
          this.runEnds.delete(serverId);
      },
    };
  }

  /** How many targets are known, leaving ones included. */
  get size(): number {
    return this.targets.size;
  }

  /** @returns The target of this id, unless it is gone. */
  get(id: string): Target | undefined {
    return this.targets.get(id);
  }

  /** @returns The targets of a service that may get something new. */
  ofService(service: string): readonly Target[] {
    return this.services.get(service) ?? [];
  }

  /** @param target - A target that is new or has changed. */
  put(target: Target): void {
    const newest = this.newestRuns.get(target.serverId);
    if (newest && isOlderRun(target, newest)) {
      this.context.log.event('target-stale', {
        target: target.id,
        newest: newest.id,
      });
      return;
    }
    this.keep(target.serverId);
    this.newestRuns.set(target.serverId, target);
    if (newest && newest.id !== target.id) this.restarted(newest, target);
    const known = this.targets.get(target.id);
    // Most changes of an entry say nothing new about the target, and there may
    // be thousands of targets to go through.
    if (known && isDeepStrictEqual(known, target)) return;
    this.targets.set(target.id, target);
    this.index(target.service);
    if (known && known.service !== target.service) this.index(known.service);
    if (known?.leaving === target.leaving) return;
    this.context.log.event(
      target.leaving ? 'target-leaving' : 'target-listed',
      {
        target: target.id,
        service: target.service,
        address: target.address,
      },
    );
  }

  /**
   * Takes a server off the list.
   *
   * Guards against the loss of live targets after an outage of the list's
   * store: their entries lapse while they can't renew them, and are back
   * shortly after. With `graceMs` the target stays until then.
   *
   * @param serverId - The server.
   * @param graceMs - How long it is still used, in milliseconds; 0: not at all.
   */
  remove(serverId: string, graceMs: number): void {
    const target = this.listedRun(serverId);
    if (!target || this.removals.has(serverId)) return;
    if (graceMs === 0) {
      this.drop(target, graceMs);
      return;
    }
    const {clock} = this.context;
    this.removals.set(
      serverId,
      clock.after(graceMs, () => this.drop(target, graceMs)),
    );
  }

  private listedRun(serverId: string): Target | undefined {
    const newest = this.newestRuns.get(serverId);
    return newest && this.targets.get(newest.id);
  }

  private restarted(before: Target, now: Target): void {
    const {serverId} = now;
    this.context.log.event('target-restarted', {
      target: now.id,
      before: before.id,
    });
    if (this.targets.has(before.id)) this.drop(before, 0);
    for (const [listener, runId] of [...(this.runEnds.get(serverId) ?? [])])
      if (runId !== now.id) listener();
  }

  private drop(target: Target, graceMs: number): void {
    const {id, serverId} = target;
    this.keep(serverId);
    const listed = this.targets.get(id);
    if (!listed) return;
    this.targets.delete(id);
    this.index(listed.service);
    this.context.log.event('target-gone', {target: id, graceMs});
    for (const listener of this.goneListeners) listener(id);
  }

  private keep(serverId: string): void {
    this.removals.get(serverId)?.[Symbol.dispose]();
    this.removals.delete(serverId);
  }

  private index(service: string): void {
    const usable = [...this.targets.values()].filter(
      target => target.service === service && !target.leaving,
    );
    this.services.set(service, usable);
  }
}

/** An entry that was written by the run before may arrive after the one of the
 * run that is alive: a write without an answer is carried out seconds late. */
function isOlderRun(
  {startedAtMs}: Target,
  {startedAtMs: newestStartMs}: Target,
): boolean {
  if (startedAtMs === undefined || newestStartMs === undefined) return false;
  return startedAtMs < newestStartMs;
}
