import {hash32, seededRandom} from '@oathead/core';
import test from 'ava';
import fc from 'fast-check';
import {FakeMembers} from '../fakes/fake_members.js';
import type {FakeMember} from '../fakes/fake_members.js';
import {loseAnswers} from '../fakes/lossy_answers.js';

const RUNS = Number(process.env['OATHEAD_PROPERTY_RUNS'] ?? 20);
const SEED = Number(process.env['OATHEAD_PROPERTY_SEED'] ?? 4);
const SHARES = 8;
const STEP_MS = 500;
const RECOVERY_MS = 90_000;

const KINDS = [
  'pause',
  'resume',
  'kill',
  'start',
  'stop',
  'cutOff',
  'down',
  'lossy',
  'heal',
] as const;

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(...KINDS),
    entry: fc.nat(2),
    passMs: fc.constantFrom(500, 3_000, 9_000, 20_000),
  }),
  {minLength: 3, maxLength: 12},
);

/** Three entries that are started, stopped, paused and killed. */
class World {
  readonly fleet: FakeMembers;
  readonly live: (FakeMember | undefined)[] = [];
  /** All processes ever started, including those paused, stopped or dead. */
  readonly all: FakeMember[] = [];
  private starts = 0;

  constructor(seed: number) {
    this.fleet = new FakeMembers(seed, {shareCount: SHARES});
    for (const entry of [0, 1, 2]) this.start(entry);
  }

  start(entry: number): void {
    if (this.live[entry]) return;
    // Half of the restarted entries keep their previous id.
    const again = seededRandom(hash32(`${this.starts++}`)).float() < 0.5;
    const id = again ? `e${entry}` : `e${entry}-${this.starts}`;
    const member = this.fleet.start(id);
    this.live[entry] = member;
    this.all.push(member);
  }

  kill(entry: number): void {
    this.live[entry]?.host.kill();
    this.live[entry] = undefined;
  }

  stop(entry: number): void {
    void this.live[entry]?.members.stop(5_000);
    this.live[entry] = undefined;
  }

  async pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.fleet.clock.advance(STEP_MS);
      this.check();
    }
  }

  /** @throws If two processes hold the same share at the same time. */
  private check(): void {
    const holders = this.all.flatMap(({members}) =>
      members.held().map(({share}) => share),
    );
    if (new Set(holders).size === holders.length) return;
    throw new Error(
      `a share has two holders; shares held: ${holders.sort().join(' ')}`,
    );
  }
}

const ACTIONS: Readonly<
  Record<(typeof KINDS)[number], (world: World, entry: number) => void>
> = {
  pause: (world, entry) => world.live[entry]?.host.pause(),
  resume: (world, entry) => world.live[entry]?.host.resume(),
  kill: (world, entry) => world.kill(entry),
  start: (world, entry) => world.start(entry),
  stop: (world, entry) => world.stop(entry),
  cutOff: (world, entry) =>
    void world.live[entry]?.faults.add({fault: {kind: 'down'}}),
  down: world => void world.fleet.faults.add({fault: {kind: 'down'}}),
  lossy: world => loseAnswers(world.fleet.faults, 0.3, 0.2),
  heal: world => world.fleet.faults.clear(),
};

test('no share ever has two holders, and none stays without one', async t => {
  const property = fc.asyncProperty(steps, fc.nat(), async (script, seed) => {
    const world = new World(seed);
    await world.pass(8_000);
    for (const {kind, entry, passMs} of script) {
      ACTIONS[kind](world, entry);
      await world.pass(passMs);
    }
    world.fleet.faults.clear();
    for (const [entry, member] of world.live.entries()) {
      member?.faults.clear();
      member?.host.resume();
      if (member === undefined) world.start(entry);
    }
    await world.pass(RECOVERY_MS);
    const held = world.live.flatMap(member =>
      member!.members.held().map(({share}) => share),
    );
    t.deepEqual(
      held.sort((a, b) => a - b),
      [...Array(SHARES).keys()],
    );
  });
  await t.notThrowsAsync(fc.assert(property, {numRuns: RUNS, seed: SEED}));
});
