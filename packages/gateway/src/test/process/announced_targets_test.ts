import {NO_EVENT_LOG} from '@oathead/core';
import test from 'ava';
import {AnnouncedTargets} from '../../lib/process/announced_targets.js';
import {TargetDirectory} from '../../lib/process/target_directory.js';
import {FakeClock} from '../fakes/fake_clock.js';
import {newTarget} from '../fakes/targets.js';

const MAX_WAIT_MS = 1000;

/** Targets and a record that takes a version when the test says so. */
class Fixture {
  readonly clock = new FakeClock();
  readonly directory = new TargetDirectory({
    clock: this.clock,
    log: NO_EVENT_LOG,
  });
  readonly announced = new Set<string>();
  released = 0;
  private readonly settled = new Map<string, () => void>();
  readonly targets = new AnnouncedTargets({
    clock: this.clock,
    log: NO_EVENT_LOG,
    directory: this.directory,
    record: {
      isAnnounced: ({softwareVersion}) => this.announced.has(softwareVersion),
      announce: ({softwareVersion}) =>
        new Promise(resolve => this.settled.set(softwareVersion, resolve)),
    },
    onReleased: () => this.released++,
  });

  /** The store has taken a version. */
  async take(softwareVersion: string): Promise<void> {
    this.announced.add(softwareVersion);
    this.settled.get(softwareVersion)!();
    await this.settle();
  }

  async wait(ms: number): Promise<void> {
    this.clock.advance(ms);
    await this.settle();
  }

  put(
    id: string,
    softwareVersion: string,
    leaving = false,
    service = 's',
  ): void {
    this.targets.put(newTarget(id, {service, softwareVersion, leaving}));
  }

  inUse(): readonly string[] {
    return this.directory.ofService('s').map(({id}) => id);
  }

  private async settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn++) await Promise.resolve();
  }
}

// Guards against a stream that begins at a version of which no record would tell
// if all hosts were lost.
test('a target is used once the record names its version', async t => {
  const fixture = new Fixture();
  fixture.put('a', 'v1');
  fixture.put('b', 'v1');
  t.deepEqual(fixture.inUse(), []);
  await fixture.take('v1');
  t.deepEqual(fixture.inUse(), ['a', 'b']);
  t.is(fixture.released, 1);
  fixture.put('c', 'v1');
  t.deepEqual(fixture.inUse(), ['a', 'b', 'c']);
});

// Guards against a target that is used after it has left the list.
test('a target that leaves while it waits is not used', async t => {
  const fixture = new Fixture();
  fixture.put('a', 'v1');
  fixture.targets.remove('a', 0);
  await fixture.take('v1');
  t.deepEqual(fixture.inUse(), []);
});

// Guards against a service without targets because the store takes no writes.
test('a service without another target does not wait for the record', async t => {
  const fixture = new Fixture();
  fixture.put('a', 'v1');
  await fixture.wait(MAX_WAIT_MS);
  t.deepEqual(fixture.inUse(), ['a']);
  fixture.put('b', 'v2');
  await fixture.wait(MAX_WAIT_MS);
  t.deepEqual(fixture.inUse(), ['a']);
  fixture.targets.remove('a', 0);
  await fixture.wait(MAX_WAIT_MS);
  t.deepEqual(fixture.inUse(), ['b']);
});

// Guards against requests to a target that says that it leaves, when its version
// is not in the record.
test('a target in use is told to leave at once', async t => {
  const fixture = new Fixture();
  fixture.put('a', 'v1');
  await fixture.wait(MAX_WAIT_MS);
  fixture.put('a', 'v1', true);
  t.deepEqual(fixture.inUse(), []);
});

// Guards against a host that is ready while one of its services has no targets
// yet, so that its first callers are refused.
test('a service that waits for its first target is told apart', async t => {
  const fixture = new Fixture();
  t.false(fixture.targets.hasIdleService);
  fixture.put('a', 'v1');
  fixture.put('b', 'w1', false, 'w');
  await fixture.take('v1');
  t.true(fixture.targets.hasIdleService);
  fixture.put('c', 'v2');
  await fixture.take('w1');
  t.false(fixture.targets.hasIdleService);
});
