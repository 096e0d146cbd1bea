/**
 * Measures one run for the estimates of the target's speed, of the latency of
 * its service and of its health.
 */
import {PaceMeter, type Clock} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {Lane, LoadTable} from '../process/load_table.js';
import type {ServiceOverload} from '../process/service_overload.js';
import type {EventSink, ExchangeOutcome} from './exchange.js';

/** Dependencies of {@link RunMeasurement}. */
export interface RunMeasurementContext {
  readonly clock: Clock;
  readonly loads: LoadTable;
  readonly overload: ServiceOverload;
}

const FIRST_ERROR_STATUS = 300;

/** Measurement of a run that begins when this is created. */
export class RunMeasurement {
  private readonly pace = new PaceMeter();
  private readonly sentAt: number;
  private readonly hadFreeSlot: boolean;
  private readonly slowness: number;
  private isMeasured = false;

  /**
   * @param context - Clock, loads and estimates.
   * @param target - The target, whose load doesn't include the run yet.
   * @param lane - Lane of the run.
   */
  constructor(
    private readonly context: RunMeasurementContext,
    private readonly target: Target,
    private readonly lane: Lane,
  ) {
    const {clock, overload} = context;
    const inFlight = this.inFlight();
    this.sentAt = clock.now();
    this.hadFreeSlot = inFlight < target.slots;
    this.slowness = overload.speeds.slownessAt(target, inFlight + 1);
  }

  /**
   * @param sink - Receives the events of the stream.
   * @returns The same, with the pace of the events measured.
   */
  measured(sink: EventSink): EventSink {
    return {
      events: (events, head) => {
        const msPerEvent = this.pace.add(
          events.length,
          this.context.clock.now(),
        );
        if (msPerEvent !== undefined) this.recordSpeed('pace', msPerEvent);
        return sink.events(events, head);
      },
    };
  }

  /**
   * @param latencyMs - A latency of this run, in milliseconds.
   * @returns What it would be at a target that is like its service.
   */
  relativeToTarget(latencyMs: number): number {
    return latencyMs / this.slowness;
  }

  /**
   * Records a run that is complete. A run that had to wait for a slot tells how
   * full its target was and not how fast it is.
   *
   * @param outcome - Outcome of the run.
   * @param firstByteMs - Time to its first byte, in milliseconds.
   */
  complete(outcome: ExchangeOutcome, firstByteMs: number | undefined): void {
    if (this.lane !== 'online' || !this.hadFreeSlot || !firstByteMs) return;
    const runMs = this.context.clock.now() - this.sentAt;
    if (outcome.kind === 'answered' && outcome.head.status < FIRST_ERROR_STATUS)
      this.recordSpeed('answer', runMs);
    const latency = {firstByteMs, runMs};
    const {overload} = this.context;
    overload.recordRun(this.target.service, latency, this.slowness);
  }

  private recordSpeed(what: 'pace' | 'answer', ms: number): void {
    const kind = `${this.lane} ${what}`;
    const inFlight = this.inFlight();
    const sample = {kind, ms, inFlight, isNewRun: !this.isMeasured};
    this.isMeasured = true;
    this.context.overload.speeds.record(this.target, sample);
  }

  private inFlight(): number {
    const {online, batch} = this.context.loads.totalAt(
      targetKey(this.target.id),
    );
    return online + batch;
  }
}
