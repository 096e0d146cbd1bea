/**
 * Room of one service that is promised to callers that were refused: when each
 * of them should come back, and how much room is kept for them.
 *
 * Answers rises of twice the mean load for some seconds, in which hosts that
 * each guess the returns of the others send callers back at times at which all
 * slots are taken. Each promise names a time at which there is room: no more
 * returns are promised for any time than a part of the slots that become free.
 * An urgent request finds room earlier than a less urgent one, because the
 * latter gets only a part of that room; at equal urgency the first that is
 * refused returns first. Requests that come for the first time do not get
 * promised room while its caller may come. A promise that is not taken soon
 * after its time lapses.
 */
import type {Random} from '../process/random.js';
import {OverloadForecast} from '../process/overload_forecast.js';
import {
  DEFAULT_RUN_MS,
  RETRY_SLOT_FRACTION,
} from '../process/retry_scheduler.js';

/** A request that was refused. */
export interface RefusedRequest {
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Whether it was refused although there is room, because its account has
   * used its share.
   */
  readonly isOverShare: boolean;
  /** Longest delay that its caller accepts, in milliseconds. */
  readonly maxDelayMs: number;
}

/** Room that may be promised. */
export interface ReturnRoom {
  /** Expected duration of a run, in milliseconds; undefined if unknown. */
  readonly runMs: number | undefined;
  /** Total number of slots of all targets of the service. */
  readonly slots: number;
  /** Part of the room that is promised here, between 0 and 1. */
  readonly share: number;
}

/** When a refused request should return. */
export interface ScheduledReturn {
  readonly delayMs: number;
  /** Whether room is kept for it; false if there is none in its time. */
  readonly isPromised: boolean;
}

/** Interval for which room is counted, in milliseconds. */
const INTERVAL_MS = 100;
/**
 * How long room is kept after its interval for callers that have not come, in
 * milliseconds: a new connection, a quota request and a placement request.
 */
const GRACE_MS = 100;
/**
 * Decrease of the part of the room that a request gets, per step of lower
 * priority and for one that is over its share.
 */
const RANK_STEP = 0.2;
/** Ranks lower than this one (larger numbers) are treated like it. */
const LOWEST_RANK = 4;

/** Promises for one interval. */
interface IntervalPromises {
  readonly made: number;
  readonly taken: number;
}

const NO_PROMISES: IntervalPromises = {made: 0, taken: 0};

/** Promised returns to one service. */
export class ReturnSchedule {
  private readonly forecast = new OverloadForecast();
  /** Promises by number of the interval, the earliest first. */
  private readonly intervals = new Map<number, IntervalPromises>();
  private lapsed = 0;

  /** @param random - Spreads the returns over their interval. */
  constructor(private readonly random: Random) {}

  /**
   * Schedules the return of a refused request.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   * @param request - The request.
   * @param room - Room of the service.
   * @returns When its caller should return.
   */
  schedule(
    now: number,
    request: RefusedRequest,
    room: ReturnRoom,
  ): ScheduledReturn {
    this.removeLapsed(now);
    const {maxDelayMs} = request;
    const runMs = room.runMs ?? DEFAULT_RUN_MS;
    // A run after the overload, the requests that were placed in it have ended.
    const delayMs = this.forecast.recordRefusal(now) + runMs;
    const first = intervalOf(now + Math.min(delayMs, maxDelayMs));
    const last = intervalOf(now + maxDelayMs);
    for (let interval = first; interval <= last; interval++) {
      const {made, taken} = this.intervals.get(interval) ?? NO_PROMISES;
      if (made >= roomIn(interval, request, room, runMs)) continue;
      this.intervals.set(interval, {made: made + 1, taken});
      const at = (interval + this.random.float()) * INTERVAL_MS;
      const inTime = Math.min(Math.max(0, at - now), maxDelayMs);
      return {delayMs: Math.round(inTime), isPromised: true};
    }
    return {delayMs: Math.round(maxDelayMs), isPromised: false};
  }

  /**
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns Number of returns that are due and have not come.
   */
  due(now: number): number {
    this.removeLapsed(now);
    let due = 0;
    for (const interval of this.intervals.keys())
      due += this.dueOf(interval, now);
    return due;
  }

  /**
   * Takes the room of the earliest promise that is not taken, for a request
   * that has returned and got a slot.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns Whether there was one for this time.
   */
  take(now: number): boolean {
    this.removeLapsed(now);
    const open = [...this.intervals].filter(
      ([interval, {made, taken}]) =>
        interval * INTERVAL_MS <= now && taken < made,
    );
    if (open.length === 0) return false;
    const earliest = Math.min(...open.map(([interval]) => interval));
    const {made, taken} = this.intervals.get(earliest)!;
    this.intervals.set(earliest, {made, taken: taken + 1});
    return true;
  }

  /** @returns Number of promises that have lapsed since the last call. */
  takeLapsed(): number {
    const {lapsed} = this;
    this.lapsed = 0;
    return lapsed;
  }

  /** Returns to an interval are due in proportion to the time passed in it. */
  private dueOf(interval: number, now: number): number {
    const {made, taken} = this.intervals.get(interval)!;
    const passed = Math.min(1, now / INTERVAL_MS - interval);
    return passed <= 0 ? 0 : Math.max(0, Math.floor(made * passed) - taken);
  }

  private removeLapsed(now: number): void {
    const oldest = intervalOf(now - GRACE_MS);
    for (const [interval, {made, taken}] of this.intervals) {
      if (interval >= oldest) continue;
      this.lapsed += made - taken;
      this.intervals.delete(interval);
    }
  }
}

function intervalOf(at: number): number {
  return Math.floor(at / INTERVAL_MS);
}

/** @returns How many returns may be promised for an interval. */
function roomIn(
  interval: number,
  {priority, isOverShare}: RefusedRequest,
  {slots, share}: ReturnRoom,
  runMs: number,
): number {
  const perInterval =
    (slots * RETRY_SLOT_FRACTION * share * INTERVAL_MS) / runMs;
  // Rounded so that the intervals together have the whole room.
  const room =
    Math.floor((interval + 1) * perInterval) -
    Math.floor(interval * perInterval);
  const rank = Math.min(priority + (isOverShare ? 1 : 0), LOWEST_RANK);
  return Math.ceil(room * (1 - rank * RANK_STEP));
}
