import type {StoreCounts} from '@oathead/stand-ins';
import test from 'ava';
import {ANSWERED, FakeFleet, items} from '../fakes/fake_fleet.js';
import type {FakeEntry} from '../fakes/fake_fleet.js';

const ITEMS = 3_000;
const IDLE_MS = 60_000;

interface Cost {
  readonly idempotent: boolean;
  /** Most writes for an item: objects and transactions. */
  readonly writes: number;
}

const COSTS: readonly Cost[] = [
  {idempotent: true, writes: 0.1},
  {idempotent: false, writes: 1.2},
];

function total(entries: readonly FakeEntry[], field: keyof StoreCounts) {
  return entries.reduce((sum, {faults}) => sum + faults.counts[field], 0);
}

for (const {idempotent, writes} of COSTS) {
  const name = idempotent ? 'idempotent' : 'non-idempotent';
  test(`${name} items cost at most ${writes} writes each`, async t => {
    const fleet = new FakeFleet();
    fleet.room = 4;
    fleet.script = () => ({outcome: ANSWERED, afterMs: 1_000});
    const entries = ['e1', 'e2', 'e3'].map(id => fleet.start(id));
    const entry = entries[0]!;
    await fleet.clock.advance(20_000);
    const begun = fleet.clock.now();
    await fleet.accept(entry, 'night', items(ITEMS, idempotent));
    const ended = () => fleet.attempts.every(run => run.endedAt !== undefined);
    const all = () => fleet.attempts.length === ITEMS && ended();
    t.true(await fleet.members.until(all, 3_600_000, 5_000));
    t.true(await fleet.reaches(entry, 'night', 'done', 60_000));
    const tookMs = fleet.clock.now() - begun;
    const fields = ['writes', 'transactions', 'reads', 'rowsRead'] as const;
    const used = fields.map(field => total(entries, field));
    await fleet.clock.advance(IDLE_MS);
    const perThousand = fields.map((field, i) => {
      const idle = (total(entries, field) - used[i]!) * (tookMs / IDLE_MS);
      return [field, ((used[i]! - idle) / ITEMS) * 1_000] as const;
    });
    t.log(name, 'per 1,000 items:', Object.fromEntries(perThousand));
    t.true(perThousand[0]![1] <= writes * 1_000);
  });
}
