/** How well the targets of each service answer, compared with each other. */
import {TargetHealth, type Clock} from '@oathead/core';
import type {Target} from '../connection/target.js';

/** Shares of targets, service by service: a plain service and a model engine
 * are never compared. */
export class ServiceHealth {
  private readonly services = new Map<string, TargetHealth>();

  /** @param clock - Time, in which bad marks fade. */
  constructor(private readonly clock: Clock) {}

  /** @returns The share of its load that a target deserves, from 0 to 1. */
  share({service, id}: Target): number {
    return this.services.get(service)?.share(id) ?? 1;
  }

  /**
   * @param target - A target that answered well.
   * @param latencyMs - Until the first byte of its answer, in milliseconds.
   */
  answered({service, id}: Target, latencyMs: number): void {
    this.of(service).answered(id, latencyMs, this.clock.now());
  }

  /** @param target - A target that failed a request by its own fault. */
  failed({service, id}: Target): void {
    this.of(service).failed(id, this.clock.now());
  }

  /** Lets marks fade; to be called about once a second. */
  tick(): void {
    for (const health of this.services.values()) health.tick(this.clock.now());
  }

  /** @param id - A target that is gone. */
  forget(id: string): void {
    for (const health of this.services.values()) health.remove(id);
  }

  private of(service: string): TargetHealth {
    const health = this.services.get(service) ?? new TargetHealth();
    this.services.set(service, health);
    return health;
  }
}
