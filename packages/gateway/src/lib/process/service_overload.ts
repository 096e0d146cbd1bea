/**
 * Observations of each service that decide, during an overload, which requests
 * may be queued and when refused callers should retry.
 */
import {
  ServiceLatencyEstimator,
  RetryScheduler,
  maxQueueLength,
  type Clock,
  type Random,
  type ServiceLatency,
  type WaitDemand,
} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {TargetDirectory} from './target_directory.js';

/** Dependencies of {@link ServiceOverload}. */
export interface ServiceOverloadContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: TargetDirectory;
  /** @returns Number of live hosts, including this one. */
  readonly hosts: () => number;
}

interface ServiceObservations {
  readonly latencyEstimator: ServiceLatencyEstimator;
  readonly retryScheduler: RetryScheduler;
}

/** Observations by service. */
export class ServiceOverload {
  private readonly services = new Map<string, ServiceObservations>();

  /** @param context - Time, targets and hosts. */
  constructor(private readonly context: ServiceOverloadContext) {}

  /**
   * @param service - Service of the target.
   * @param run - Latencies of a run that found a free slot.
   */
  recordRun(service: string, run: ServiceLatency): void {
    this.observationsOf(service).latencyEstimator.add(run);
  }

  /**
   * @param service - A service.
   * @returns Mean duration of its runs, in milliseconds; undefined if unknown.
   */
  runMs(service: string): number | undefined {
    return this.services.get(service)?.latencyEstimator.latency?.runMs;
  }

  /** @returns How many requests with this demand may be queued at a target. */
  maxQueued({service, slots}: Target, demand: WaitDemand): number {
    const latency = this.services.get(service)?.latencyEstimator.latency;
    return maxQueueLength(slots, demand, latency);
  }

  /**
   * @param service - Service whose targets have no free capacity for the
   *     request.
   * @param maxDelayMs - Longest retry delay that the caller accepts, in
   *     milliseconds.
   * @returns The retry delay, in milliseconds.
   */
  returnAfterMs(service: string, maxDelayMs: number): number {
    const {clock, directory, hosts} = this.context;
    const {latencyEstimator, retryScheduler} = this.observationsOf(service);
    const targets = directory.ofService(service);
    const slots = targets.reduce((sum, target) => sum + target.slots, 0);
    const runMs = latencyEstimator.latency?.runMs;
    return retryScheduler.scheduleRetry(clock.now(), {
      runMs,
      slots,
      hosts: hosts(),
      maxDelayMs,
    });
  }

  private observationsOf(service: string): ServiceObservations {
    const known = this.services.get(service);
    if (known) return known;
    const observed: ServiceObservations = {
      latencyEstimator: new ServiceLatencyEstimator(),
      retryScheduler: new RetryScheduler(this.context.random),
    };
    this.services.set(service, observed);
    return observed;
  }
}
