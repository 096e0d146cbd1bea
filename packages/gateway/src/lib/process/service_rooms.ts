/**
 * Slots of a service and their use by online requests. With thousands of
 * targets they are not summed for each request anew.
 */
import type {ServiceRoom} from '@oathead/core';
import {targetKey} from '../connection/load_message.js';
import type {Target} from '../connection/target.js';
import type {LoadTable} from './load_table.js';
import type {TargetDirectory} from './target_directory.js';
import type {TargetSuspensions} from './target_suspensions.js';

/** Dependencies of {@link ServiceRooms}. */
export interface ServiceRoomsContext {
  readonly directory: Pick<TargetDirectory, 'ofService'>;
  readonly suspensions: Pick<TargetSuspensions, 'isSuspended'>;
  readonly loads: Pick<LoadTable, 'totalAt'>;
  /** Returns the monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Slots of the usable targets of a service. */
export interface UsableRoom extends ServiceRoom {
  /** Number of slots without an online request. */
  readonly free: number;
  /** All targets, usable or not. */
  readonly targets: readonly Target[];
}

/**
 * Time after which the slots are summed again, in milliseconds: short compared
 * to the interval of load reports.
 */
const REFRESH_INTERVAL_MS = 5;

interface Summed {
  readonly at: number;
  readonly all: readonly Target[];
  readonly dataCentre: string | undefined;
  /** Load keys of the targets in scope. */
  readonly keys: readonly string[];
  readonly room: UsableRoom;
}

/** Rooms by service. */
export class ServiceRooms {
  private readonly summed = new Map<string, Summed>();

  /** @param context - Targets and loads. */
  constructor(private readonly context: ServiceRoomsContext) {}

  /**
   * @param service - A service.
   * @param dataCentre - Data centre of the targets that count; undefined for
   *     all.
   * @returns The slots of these targets.
   */
  of(service: string, dataCentre: string | undefined): UsableRoom {
    const {directory, now} = this.context;
    const at = now();
    const all = directory.ofService(service);
    const before = this.summed.get(service);
    const isSame = before?.all === all && before.dataCentre === dataCentre;
    if (isSame && at - before.at < REFRESH_INTERVAL_MS) return before.room;
    const targets = isSame
      ? before.room.targets
      : all.filter(one => !dataCentre || one.dataCentre === dataCentre);
    const keys = isSame ? before.keys : targets.map(({id}) => targetKey(id));
    const room = this.sum(targets, keys);
    this.summed.set(service, {at, all, dataCentre, keys, room});
    return room;
  }

  /**
   * Counts a request that was placed since the slots were summed.
   *
   * @param service - Its service.
   */
  addPlaced(service: string): void {
    const before = this.summed.get(service);
    if (!before) return;
    const {online, free, ...rest} = before.room;
    const room = {...rest, online: online + 1, free: Math.max(0, free - 1)};
    this.summed.set(service, {...before, room});
  }

  private sum(targets: readonly Target[], keys: readonly string[]): UsableRoom {
    const {loads, suspensions} = this.context;
    const room = {slots: 0, online: 0, free: 0};
    for (const [i, {id, slots}] of targets.entries()) {
      if (suspensions.isSuspended(id)) continue;
      const {online} = loads.totalAt(keys[i]!);
      room.slots += slots;
      room.online += online;
      room.free += Math.max(0, slots - online);
    }
    return {...room, targets};
  }
}
