/** Hosts that can be paused and lost, as the processes on them notice it. */
import type {Clock} from '@oathead/core';
import type {ListOptions, Platform, Transaction} from '@oathead/stores';
import type {ObjectStore, TableStore} from '@oathead/stores';

/**
 * What a process sees of the world: while its host is paused, time goes on and
 * answers arrive, but it notices nothing until it wakes.
 */
export class FakeHost {
  /** The clock of the process. */
  readonly clock: Clock;
  private paused = false;
  private dead = false;
  private waiting: (() => void)[] = [];

  constructor(world: Clock) {
    this.clock = {
      now: () => world.now(),
      wallTime: () => world.wallTime(),
      after: (delayMs, callback) => {
        let cancelled = false;
        const fire = () => {
          if (!cancelled) callback();
        };
        const timer = world.after(delayMs, () => this.enter(fire));
        const cancel = () => {
          cancelled = true;
          timer[Symbol.dispose]();
        };
        return {[Symbol.dispose]: cancel};
      },
    };
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const waiting = this.waiting;
    this.waiting = [];
    for (const callback of waiting) callback();
  }

  kill(): void {
    this.dead = true;
    this.waiting = [];
  }

  /** Lets an answer in once the process runs. */
  async hear<T>(answer: Promise<T>): Promise<T> {
    const value = await answer;
    await new Promise<void>(resolve => this.enter(resolve));
    return value;
  }

  private enter(callback: () => void): void {
    if (this.dead) return;
    if (this.paused) this.waiting.push(callback);
    else callback();
  }
}

/** The table as the process on a host sees it. */
export function tableAt(host: FakeHost, {table}: Platform): TableStore {
  return {
    read: (keys: readonly string[]) => host.hear(table.read(keys)),
    list: (prefix: string, options?: ListOptions) =>
      host.hear(table.list(prefix, options)),
    write: (transaction: Transaction) => host.hear(table.write(transaction)),
  };
}

/** The object store as the process on a host sees it. */
export function objectsAt(host: FakeHost, {objects}: Platform): ObjectStore {
  return {
    put: (key: string, bytes: Uint8Array) => host.hear(objects.put(key, bytes)),
    get: (key: string) => host.hear(objects.get(key)),
    delete: (key: string) => host.hear(objects.delete(key)),
  };
}
