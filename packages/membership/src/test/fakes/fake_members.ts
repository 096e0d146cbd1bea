/** Entries over one table, in virtual time. */
import {hash32, seededRandom} from '@oathead/core';
import type {Counters} from '@oathead/core';
import {MemoryObjects} from '@oathead/platform';
import {LeasedMembership} from '../../lib/process/leased_membership.js';
import {MEMBERSHIP_DEFAULTS} from '../../lib/process/membership_settings.js';
import type {MembershipSettings} from '../../lib/process/membership_settings.js';
import {LoggedTable, NO_FAULTS, StoreView} from './store_view.js';
import type {Faults} from './store_view.js';
import {FakeHost, virtualClock} from './virtual_clock.js';

/** Counters that can be read. */
export class CountedEvents implements Counters {
  readonly counts = new Map<string, number>();

  count(name: string, labels = {}, by = 1): void {
    const key = [name, ...Object.values(labels)].join(' ');
    this.counts.set(key, (this.counts.get(key) ?? 0) + by);
  }
}

export interface FakeMember {
  readonly host: FakeHost;
  readonly store: StoreView;
  readonly members: LeasedMembership;
  /** Faults of this entry's way to the store alone. */
  readonly faults: Faults;
}

export class FakeMembers {
  readonly clock = virtualClock();
  readonly table = new LoggedTable();
  readonly objects = new MemoryObjects();
  readonly faults: Faults = {...NO_FAULTS};
  readonly counters = new CountedEvents();
  readonly entries = new Map<string, FakeMember>();

  constructor(
    readonly seed = 1,
    private readonly settings: Partial<MembershipSettings> = {},
  ) {}

  private starts = 0;

  start(id: string): FakeMember {
    const process = `${this.seed}/${id}/${this.starts++}`;
    const host = new FakeHost(this.clock);
    const faults = {...NO_FAULTS};
    const store = new StoreView(
      host,
      this.clock,
      seededRandom(hash32(`faults/${process}`)),
      this.table,
      this.objects,
      [this.faults, faults],
    );
    const deps = {
      clock: host.clock,
      random: seededRandom(hash32(`entry/${process}`)),
      counters: this.counters,
      table: store,
    };
    const members = new LeasedMembership(deps, {
      ...MEMBERSHIP_DEFAULTS,
      ...this.settings,
      entryId: id,
      address: `${id}:1`,
      dataCentre: 'hall-a',
    });
    members.start();
    const member = {host, store, members, faults};
    this.entries.set(id, member);
    return member;
  }

  /** Lets time pass until something holds; says whether it came to hold. */
  async until(
    holds: () => boolean | Promise<boolean>,
    limitMs: number,
    stepMs = 250,
  ): Promise<boolean> {
    for (let passed = 0; passed < limitMs; passed += stepMs) {
      if (await holds()) return true;
      await this.clock.pass(stepMs);
    }
    return holds();
  }

  /** Lets time pass until a promise settles. */
  async wait<T>(promise: Promise<T>, limitMs = 600_000): Promise<T> {
    let settled = false;
    const done = promise.finally(() => (settled = true));
    if (!(await this.until(() => settled, limitMs, 50))) {
      throw new Error('not settled in time');
    }
    return done;
  }
}
