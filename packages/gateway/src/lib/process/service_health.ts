/** Health of the targets of each service, relative to each other. */
import {TargetHealth, type Clock} from '@oathead/core';
import type {Target} from '../connection/target.js';

/**
 * Tracks target health separately for each service, because a plain service and
 * a model engine are not comparable.
 */
export class ServiceHealth {
  private readonly services = new Map<string, TargetHealth>();

  /** @param clock - Time by which penalties decay. */
  constructor(private readonly clock: Clock) {}

  /**
   * @returns The fraction of its regular load that the target should get, from
   *     0 to 1.
   */
  trafficShare({service, id}: Target): number {
    return this.services.get(service)?.share(id) ?? 1;
  }

  /**
   * @param target - A target that served a request successfully.
   * @param latencyMs - Time to the first byte of its response, in milliseconds.
   */
  recordSuccess({service, id}: Target, latencyMs: number): void {
    this.healthOf(service).recordSuccess(id, latencyMs, this.clock.now());
  }

  /** @param target - A target that failed a request through its own fault. */
  recordFailure({service, id}: Target): void {
    this.healthOf(service).recordFailure(id, this.clock.now());
  }

  /** Decays penalties; to be called about once a second. */
  tick(): void {
    for (const health of this.services.values()) health.tick(this.clock.now());
  }

  /** @param id - ID of a target that was removed. */
  remove(id: string): void {
    for (const health of this.services.values()) health.remove(id);
  }

  private healthOf(service: string): TargetHealth {
    const health = this.services.get(service) ?? new TargetHealth();
    this.services.set(service, health);
    return health;
  }
}
