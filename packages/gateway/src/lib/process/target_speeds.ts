/**
 * Speeds of all targets, by service, as this host has measured them and as
 * other hosts tell.
 */
import {
  LIKE_ITS_SERVICE,
  NEARLY_FULL,
  ServiceSpeeds,
  loadBand,
  type Clock,
  type SpeedEvidence,
  type Slowness,
} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';

const NONE: ReadonlyMap<string, Slowness> = new Map();

/** Part of a run of this host. */
export interface RunSample {
  /** Kind of work; times are compared only within one kind. */
  readonly kind: string;
  /** Time for one unit of work, in milliseconds. */
  readonly ms: number;
  /** Whether it is the first part of its run that is measured. */
  readonly isNewRun: boolean;
  /** Requests of all hosts in flight at the target. */
  readonly inFlight: number;
}

/** Receives what this host has measured. */
export type EvidenceListener = (
  target: Target,
  evidence: SpeedEvidence,
) => void;

/** Dependencies of {@link TargetSpeeds}. */
export interface TargetSpeedsContext {
  readonly clock: Clock;
  /** Whether speeds are learned; otherwise all targets count as equal. */
  readonly isLearning: boolean;
}

/** Speeds of the targets of each service. */
export class TargetSpeeds {
  private readonly services = new Map<string, ServiceSpeeds>();
  private listener: EvidenceListener | undefined;

  /** @param context - The clock, and whether speeds are learned. */
  constructor(private readonly context: TargetSpeedsContext) {}

  /** @param listener - Called with each measurement of this host. */
  onEvidence(listener: EvidenceListener): void {
    this.listener = listener;
  }

  /**
   * @param target - A target that runs a request of this host.
   * @param sample - What the run has shown.
   */
  record(target: Target, {inFlight, ...sample}: RunSample): void {
    if (!this.context.isLearning) return;
    const band = loadBand(inFlight, target.slots);
    const key = targetKey(target.id);
    const now = this.context.clock.now();
    const speeds = this.speedsOf(target.service);
    const evidence = speeds.record(key, {...sample, band}, now);
    if (evidence) this.listener?.(target, evidence);
  }

  /**
   * @param service - Service of the target.
   * @param key - Load key of the target.
   * @param evidence - What another host tells of its runs there.
   * @param host - The other host.
   */
  addReported(
    service: string,
    key: string,
    evidence: SpeedEvidence,
    host: string,
  ): void {
    if (!this.context.isLearning) return;
    const now = this.context.clock.now();
    this.speedsOf(service).addReported(key, evidence, host, now);
  }

  /**
   * @param target - A target.
   * @returns Its slowness; exactly 1 if it is like its service.
   */
  slownessOf({id, service}: Target): Slowness {
    const unlike = this.unlike(service);
    if (unlike.size === 0) return LIKE_ITS_SERVICE;
    return unlike.get(targetKey(id)) ?? LIKE_ITS_SERVICE;
  }

  /**
   * @param target - A target.
   * @param inFlight - Requests in flight there.
   * @returns How much longer it takes for a request than its service does.
   */
  slownessAt(target: Target, inFlight: number): number {
    const {regular, nearlyFull} = this.slownessOf(target);
    if (nearlyFull === regular) return regular;
    const isNearlyFull = loadBand(inFlight, target.slots) === NEARLY_FULL;
    return isNearlyFull ? nearlyFull : regular;
  }

  /**
   * @param service - A service.
   * @returns Its targets that are unlike the others, by load key.
   */
  unlike(service: string): ReadonlyMap<string, Slowness> {
    const speeds = this.services.get(service);
    return speeds?.unlikeAt(this.context.clock.now()) ?? NONE;
  }

  /**
   * @param service - A service.
   * @returns Whether hosts should tell each other of their runs there.
   */
  isWorthTelling(service: string): boolean {
    const speeds = this.services.get(service);
    return speeds?.isWorthTelling(this.context.clock.now()) ?? false;
  }

  /** @returns The services of which speeds are known. */
  get knownServices(): readonly string[] {
    return [...this.services.keys()];
  }

  /** @param id - ID of a target that was removed. */
  remove(id: string): void {
    const key = targetKey(id);
    for (const speeds of this.services.values()) speeds.remove(key);
  }

  private speedsOf(service: string): ServiceSpeeds {
    let speeds = this.services.get(service);
    if (!speeds) {
      speeds = new ServiceSpeeds();
      this.services.set(service, speeds);
    }
    return speeds;
  }
}
