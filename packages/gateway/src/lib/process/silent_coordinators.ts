/** Remembers which coordinators do not reply, so that they get no requests. */
import type {Clock, EventLog} from '@oathead/core';

/**
 * Number of consecutive timeouts after which a coordinator gets no requests for
 * a while.
 */
const FAILURES_TO_PAUSE = 3;
/**
 * How long an unresponsive coordinator gets no requests, in milliseconds. By
 * then it has recovered, or another host is about to be elected.
 */
const PAUSE_MS = 1000;

/** Coordinators that do not reply, by host ID. */
export class SilentCoordinators {
  /** Consecutive timeouts. */
  private readonly failures = new Map<string, number>();
  private readonly pausedUntil = new Map<string, number>();

  /** @param context - Time, and the log for pauses. */
  constructor(
    private readonly context: {readonly clock: Clock; readonly log: EventLog},
  ) {}

  /** @returns Whether the host gets no requests at present. */
  isPaused(id: string): boolean {
    return this.context.clock.now() < (this.pausedUntil.get(id) ?? -Infinity);
  }

  /** @param id - ID of a host that has replied. */
  recordReply(id: string): void {
    this.failures.delete(id);
  }

  /** @param id - ID of a host that has not replied in time. */
  recordTimeout(id: string): void {
    const {clock, log} = this.context;
    const failures = (this.failures.get(id) ?? 0) + 1;
    this.failures.set(id, failures);
    if (failures < FAILURES_TO_PAUSE) return;
    this.failures.delete(id);
    this.pausedUntil.set(id, clock.now() + PAUSE_MS);
    log.event('coordinator-silent', {coordinator: id, pauseMs: PAUSE_MS});
  }
}
