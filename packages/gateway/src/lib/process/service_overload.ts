/**
 * What this host has observed of each service that decides, at a time of
 * overload, who may wait and when the others should come back.
 */
import {
  PaceLearner,
  ReturnTimes,
  waitingPlaces,
  type Clock,
  type Random,
  type ServicePace,
  type WaitDemand,
} from '@oathead/core';
import type {Target} from '../connection/target.js';
import type {TargetDirectory} from './target_directory.js';

/** What a {@link ServiceOverload} needs. */
export interface OverloadContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: TargetDirectory;
  /** @returns How many hosts are live, this one included. */
  readonly hosts: () => number;
}

interface Observed {
  readonly learner: PaceLearner;
  readonly returns: ReturnTimes;
}

/** Observations by service. */
export class ServiceOverload {
  private readonly services = new Map<string, Observed>();

  /** @param context - Time, targets and hosts. */
  constructor(private readonly context: OverloadContext) {}

  /**
   * @param service - Whose target answered.
   * @param run - What the run took; it found a free slot.
   */
  ran(service: string, run: ServicePace): void {
    this.of(service).learner.add(run);
  }

  /** @returns How many requests like this one may wait at a target. */
  waitingPlaces({service, slots}: Target, demand: WaitDemand): number {
    const pace = this.services.get(service)?.learner.pace;
    return waitingPlaces(slots, demand, pace);
  }

  /**
   * @param service - Whose targets had no place for a caller.
   * @param latestMs - The latest return that the caller agrees to, in ms.
   * @returns In how many milliseconds it should come back.
   */
  returnAfterMs(service: string, latestMs: number): number {
    const {clock, directory, hosts} = this.context;
    const {learner, returns} = this.of(service);
    const targets = directory.ofService(service);
    const slots = targets.reduce((sum, target) => sum + target.slots, 0);
    const runMs = learner.pace?.runMs;
    return returns.refuse(clock.now(), {
      runMs,
      slots,
      hosts: hosts(),
      latestMs,
    });
  }

  private of(service: string): Observed {
    const known = this.services.get(service);
    if (known) return known;
    const observed: Observed = {
      learner: new PaceLearner(),
      returns: new ReturnTimes(this.context.random),
    };
    this.services.set(service, observed);
    return observed;
  }
}
