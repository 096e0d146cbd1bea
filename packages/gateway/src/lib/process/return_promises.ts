/**
 * Room that the coordinator of a data centre promises to callers that are
 * refused; see `return_schedule.ts` in core.
 *
 * Each coordinator promises the part of all room that corresponds to the hosts
 * of its data centre, and keeps room for the returns to all data centres, under
 * the assumption that the others promise at the same rate. The state is lost
 * with the coordinator: callers with its promises are then treated like other
 * callers that return, and its successor may promise the same room again, for
 * as long as the longest promise.
 */
import {
  ReturnSchedule,
  type Clock,
  type Counters,
  type Random,
  type WaitDemand,
} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {FullCause} from '../connection/placement_message.js';
import type {LoadTable} from './load_table.js';
import type {ServiceOverload} from './service_overload.js';
import type {TargetDirectory} from './target_directory.js';

/** Dependencies of {@link ReturnPromises}. */
export interface ReturnPromisesContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly directory: Pick<TargetDirectory, 'ofService' | 'slotsOf'>;
  readonly loads: Pick<LoadTable, 'totalAt'>;
  readonly overload: Pick<ServiceOverload, 'latencyOf' | 'maxQueued'>;
  /** @returns Part of all live hosts that is in this data centre. */
  readonly hostShare: () => number;
  /** @returns Whether this host is the coordinator of its data centre. */
  readonly isCoordinator: () => boolean;
}

/**
 * How long the free room of a service is remembered, in milliseconds. With
 * thousands of targets, counting it takes longer than placing a request.
 */
const ROOM_LIFETIME_MS = 5;

/** Free room of a service for requests of one kind. */
interface CountedRoom {
  readonly countedAt: number;
  /** Without what has been placed since. */
  left: number;
}

/** Promises of one host by service. */
export class ReturnPromises {
  private readonly schedules = new Map<string, ReturnSchedule>();
  /** By service and kind of request. */
  private readonly rooms = new Map<string, Map<string, CountedRoom>>();

  /** @param context - Room of the services, and the role of this host. */
  constructor(private readonly context: ReturnPromisesContext) {}

  /**
   * @param service - Service that the request needs.
   * @param demand - A request of this data centre.
   * @param excluded - IDs of targets that must not be selected.
   * @returns Whether all free room is promised to others.
   */
  isPromisedToOthers(
    service: string,
    demand: WaitDemand,
    excluded: ReadonlySet<string>,
  ): boolean {
    const schedule = this.schedules.get(service);
    if (!schedule || (demand.returning && !demand.late)) return false;
    const {clock, hostShare} = this.context;
    const due = schedule.due(clock.now());
    this.countLapsed(schedule);
    if (due === 0) return false;
    const dueOfAll = due / Math.max(hostShare(), Number.EPSILON);
    return this.freeRoom(service, demand, excluded) <= dueOfAll;
  }

  /**
   * @param service - Service of a request that got a slot.
   * @param demand - The request.
   */
  recordPlaced(service: string, demand: WaitDemand): void {
    for (const room of this.rooms.get(service)?.values() ?? []) room.left--;
    if (!demand.returning || demand.late) return;
    if (this.schedules.get(service)?.take(this.context.clock.now()))
      this.count('taken');
  }

  /**
   * @param service - Service of a request that is refused.
   * @param demand - The request.
   * @param cause - Why it is refused.
   * @returns When its caller should return, in milliseconds; undefined if
   *     nothing is promised.
   */
  promise(
    service: string,
    {priority, returnWithinMs: maxDelayMs}: WaitDemand,
    cause: FullCause,
  ): number | undefined {
    const {clock, directory, overload, hostShare} = this.context;
    if (maxDelayMs === undefined || !this.context.isCoordinator())
      return undefined;
    const {delayMs, isPromised} = this.scheduleOf(service).schedule(
      clock.now(),
      {priority, isOverShare: cause === 'share', maxDelayMs},
      {
        runMs: overload.latencyOf(service)?.runMs,
        slots: directory.slotsOf(service),
        share: hostShare(),
      },
    );
    this.count(isPromised ? 'made' : 'no-room');
    return isPromised ? delayMs : undefined;
  }

  /** @returns How many such requests the targets can take now. */
  private freeRoom(
    service: string,
    demand: WaitDemand,
    excluded: ReadonlySet<string>,
  ): number {
    const now = this.context.clock.now();
    const rooms = this.rooms.get(service) ?? new Map<string, CountedRoom>();
    const kind = `${demand.priority} ${demand.late ?? false} ${demand.goalMs}`;
    const known = rooms.get(kind);
    if (known && now - known.countedAt < ROOM_LIFETIME_MS) return known.left;
    for (const [key, {countedAt}] of rooms)
      if (now - countedAt >= ROOM_LIFETIME_MS) rooms.delete(key);
    const left = this.countRoom(service, demand, excluded);
    this.rooms.set(service, rooms.set(kind, {countedAt: now, left}));
    return left;
  }

  private countRoom(
    service: string,
    demand: WaitDemand,
    excluded: ReadonlySet<string>,
  ): number {
    const {directory, loads, overload} = this.context;
    let room = 0;
    for (const target of directory.ofService(service)) {
      if (excluded.has(target.id)) continue;
      const {online} = loads.totalAt(targetKey(target.id));
      const most = target.slots + overload.maxQueued(target, demand);
      room += Math.max(0, most - online);
    }
    return room;
  }

  private scheduleOf(service: string): ReturnSchedule {
    const known = this.schedules.get(service);
    if (known) return known;
    const schedule = new ReturnSchedule(this.context.random);
    this.schedules.set(service, schedule);
    return schedule;
  }

  private countLapsed(schedule: ReturnSchedule): void {
    const lapsed = schedule.takeLapsed();
    if (lapsed > 0) this.count('lapsed', lapsed);
  }

  private count(outcome: string, by = 1): void {
    this.context.counters.count('return_promises', {outcome}, by);
  }
}
