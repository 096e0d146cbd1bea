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
import type {NotPlaced} from './placement_outcome.js';
import type {TargetDirectory} from './target_directory.js';
import {TargetSpeeds} from './target_speeds.js';

/** Dependencies of {@link ServiceOverload}. */
export interface ServiceOverloadContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: TargetDirectory;
  /** @returns Number of live hosts, including this one. */
  readonly hosts: () => number;
  /** Speeds of the targets; learned by default. */
  readonly speeds?: TargetSpeeds;
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
  /** Speeds of the targets relative to their services. */
  readonly speeds: TargetSpeeds;

  /** @param context - Time, targets and hosts. */
  constructor(private readonly context: ServiceOverloadContext) {
    const {clock, speeds} = context;
    this.speeds = speeds ?? new TargetSpeeds({clock, isLearning: true});
  }

  /**
   * @param service - Service of the target.
   * @param run - Latencies of a run that found a free slot.
   * @param slowness - Slowness of the target relative to its service.
   */
  recordRun(service: string, run: ServiceLatency, slowness = 1): void {
    const {latencyEstimator} = this.observationsOf(service);
    latencyEstimator.add(scaled(run, 1 / slowness));
  }

  /**
   * @param service - A service.
   * @returns Mean latency of a run at a target that is like its service;
   *     undefined if it is not known.
   */
  latencyOf(service: string): ServiceLatency | undefined {
    return this.services.get(service)?.latencyEstimator.latency;
  }

  /**
   * @param service - A service.
   * @param outcome - Why a request in time got none of its slots. One that is
   *     over the share of its account says nothing of the room.
   */
  recordNotPlaced(service: string, {cause}: NotPlaced): void {
    if (cause !== 'room') return;
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

  /** @returns How many requests with this demand may be queued at a target. */
  maxQueued(target: Target, demand: WaitDemand): number {
    const {service, slots} = target;
    const latency = this.latencyOf(service);
    const slowness = this.speeds.slownessOf(target).nearlyFull;
    return maxQueueLength(slots, demand, latency && scaled(latency, slowness));
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
    const slots = targets.reduce(
      (sum, target) =>
        sum + target.slots / this.speeds.slownessOf(target).nearlyFull,
      0,
    );
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

function scaled(
  {firstByteMs, runMs}: ServiceLatency,
  by: number,
): ServiceLatency {
  return {firstByteMs: firstByteMs * by, runMs: runMs * by};
}
