/**
 * Observations of each service that decide, during an overload, which requests
 * may be queued and when refused callers should retry.
 */
import {
  ServiceLatencyEstimator,
  expectedRunMs,
  isServiceFull,
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
  /** When a request in time last found no room, in monotonic milliseconds. */
  fullAt: number;
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

  /** @param service - Service without room for a request in time. */
  recordFull(service: string): void {
    this.observationsOf(service).fullAt = this.context.clock.now();
  }

  /**
   * @param service - A service.
   * @param goalMs - Latency objective of its requests, in milliseconds.
   * @param isAlone - Whether this host does not know the requests of others.
   * @returns Whether requests in time need all its slots.
   */
  isFull(service: string, goalMs: number, isAlone: boolean): boolean {
    const fullAt = this.services.get(service)?.fullAt ?? -Infinity;
    const runMs = expectedRunMs(this.latencyOf(service), goalMs);
    return isServiceFull(fullAt, runMs, this.context.clock.now(), isAlone);
  }

  /**
   * @returns Observed latency of a service; undefined if too few runs are known.
   */
  latencyOf(service: string): ServiceLatency | undefined {
    return this.services.get(service)?.latencyEstimator.latency;
  }

  /** @returns How many requests with this demand may be queued at a target. */
  maxQueued({service, slots}: Target, demand: WaitDemand): number {
    return maxQueueLength(slots, demand, this.latencyOf(service));
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
    const slots = directory.slotsOf(service);
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
      fullAt: -Infinity,
      latencyEstimator: new ServiceLatencyEstimator(),
      retryScheduler: new RetryScheduler(this.context.random),
    };
    this.services.set(service, observed);
    return observed;
  }
}
