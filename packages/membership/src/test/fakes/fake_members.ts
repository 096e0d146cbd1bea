/** Entries that share one in-memory platform, in virtual time. */
import {hash32, seededRandom} from '@oathead/core';
import type {Counters, Labels} from '@oathead/core';
import {MemoryPlatform} from '@oathead/stores';
import type {ObjectStore, Platform, TableStore} from '@oathead/stores';
import {StoreFaults, VirtualClock, faultyPlatform} from '@oathead/stand-ins';
import {LeasedMembership} from '../../lib/process/leased_membership.js';
import {MEMBERSHIP_DEFAULTS} from '../../lib/process/membership_settings.js';
import type {MembershipSettings} from '../../lib/process/membership_settings.js';
import {FakeHost, objectsAt, tableAt} from './fake_host.js';

const LATENCY_MS = 2;
const STEP_MS = 250;

/** Counters whose sums can be read, without regard to labels. */
export class CountedEvents implements Counters {
  private readonly counts = new Map<string, number>();

  count(name: string, labels?: Labels, by = 1): void {
    this.counts.set(name, this.of(name) + by);
  }

  of(name: string): number {
    return this.counts.get(name) ?? 0;
  }
}

/** One simulated entry process and its host. */
export interface FakeMember {
  readonly host: FakeHost;
  /** Faults of the connection between this entry and the stores. */
  readonly faults: StoreFaults;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly members: LeasedMembership;
}

/** A fleet of entries that share one platform. */
export class FakeMembers {
  readonly clock = new VirtualClock();
  /** Faults of the stores that affect all entries. */
  readonly faults = new StoreFaults(this.clock);
  readonly counters = new CountedEvents();
  private starts = 0;

  constructor(
    readonly seed = 1,
    private readonly settings: Partial<MembershipSettings> = {},
    readonly platform: Platform = new MemoryPlatform(),
  ) {}

  start(id: string, settings: Partial<MembershipSettings> = {}): FakeMember {
    const processId = `${this.seed}/${id}/${this.starts++}`;
    const host = new FakeHost(this.clock);
    const faults = new StoreFaults(this.clock);
    faults.add({fault: {kind: 'slow', delayMs: LATENCY_MS}});
    const shared = faultyPlatform(this.platform, this.faults);
    const entryPlatform = faultyPlatform(shared, faults);
    const table = tableAt(host, entryPlatform);
    const deps = {
      clock: host.clock,
      random: seededRandom(hash32(processId)),
      counters: this.counters,
      table,
    };
    const members = new LeasedMembership(deps, {
      ...MEMBERSHIP_DEFAULTS,
      ...this.settings,
      ...settings,
      entryId: id,
      address: `${id}:1`,
      dataCentre: 'hall-a',
    });
    members.start();
    return {
      host,
      faults,
      table,
      objects: objectsAt(host, entryPlatform),
      members,
    };
  }

  /**
   * Advances the clock until a condition holds.
   *
   * @param holds - The condition.
   * @param limitMs - Maximum virtual time to wait, in milliseconds.
   * @param stepMs - Virtual time between two checks, in milliseconds.
   * @returns Whether the condition holds at the end.
   */
  async until(
    holds: () => boolean | Promise<boolean>,
    limitMs: number,
    stepMs = STEP_MS,
  ): Promise<boolean> {
    for (let passed = 0; passed < limitMs; passed += stepMs) {
      if (await holds()) return true;
      await this.clock.advance(stepMs);
    }
    return holds();
  }
}
