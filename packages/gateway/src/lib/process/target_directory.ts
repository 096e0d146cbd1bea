/** The targets that are known, by id and by service. */
import {isDeepStrictEqual} from 'node:util';
import type {Clock, EventLog} from '@oathead/core';
import type {Target} from '../connection/target.js';

/** What a {@link TargetDirectory} needs. */
export interface TargetDirectoryContext {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Keeps the list of targets. */
export class TargetDirectory {
  private readonly targets = new Map<string, Target>();
  private readonly services = new Map<string, readonly Target[]>();
  private readonly removals = new Map<string, Disposable>();
  private readonly goneListeners: Array<(id: string) => void> = [];

  /** @param context - Time, and where changes are written. */
  constructor(private readonly context: TargetDirectoryContext) {}

  /** @param listener - Called with the id of each target that is gone. */
  onGone(listener: (id: string) => void): void {
    this.goneListeners.push(listener);
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
    this.keep(target.id);
    const known = this.targets.get(target.id);
    // Most changes of an entry say nothing new about the target, and there may
    // be thousands of targets to go through.
    if (known && isDeepStrictEqual(known, target)) return;
    this.targets.set(target.id, target);
    this.index(target.service);
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
   * Takes a target off the list.
   *
   * Guards against the loss of live targets after an outage of the list's
   * store: their entries lapse while they can't renew them, and are back
   * shortly after. With `graceMs` the target stays until then.
   *
   * @param id - The target.
   * @param graceMs - How long it is still used, in milliseconds; 0: not at all.
   */
  remove(id: string, graceMs: number): void {
    if (!this.targets.has(id) || this.removals.has(id)) return;
    if (graceMs === 0) {
      this.drop(id, graceMs);
      return;
    }
    const {clock} = this.context;
    this.removals.set(
      id,
      clock.after(graceMs, () => this.drop(id, graceMs)),
    );
  }

  private drop(id: string, graceMs: number): void {
    this.keep(id);
    const target = this.targets.get(id);
    if (!target) return;
    this.targets.delete(id);
    this.index(target.service);
    this.context.log.event('target-gone', {target: id, graceMs});
    for (const listener of this.goneListeners) listener(id);
  }

  private keep(id: string): void {
    this.removals.get(id)?.[Symbol.dispose]();
    this.removals.delete(id);
  }

  private index(service: string): void {
    const usable = [...this.targets.values()].filter(
      target => target.service === service && !target.leaving,
    );
    this.services.set(service, usable);
  }
}
