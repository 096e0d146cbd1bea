/** Simulated hosts that can be paused, resumed and killed. */
import type {Clock} from '@oathead/core';
import type {ListOptions, Platform, Transaction} from '@oathead/stores';
import type {ObjectStore, TableStore} from '@oathead/stores';

/**
 * A host with one process. While the host is paused, time passes and responses
 * arrive, but timers and responses reach the process only after the resume.
 */
export class FakeHost {
  /** The clock of the process; its timers fire only while the host runs. */
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
        const timer = world.after(delayMs, () => this.runWhenResumed(fire));
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

  /**
   * Delivers a response to the process.
   *
   * @param response - The response of a store.
   * @returns The response once the host is not paused; never settles if the
   *     host was killed.
   */
  async hear<T>(response: Promise<T>): Promise<T> {
    const value = await response;
    await new Promise<void>(resolve => this.runWhenResumed(resolve));
    return value;
  }

  private runWhenResumed(callback: () => void): void {
    if (this.dead) return;
    if (this.paused) this.waiting.push(callback);
    else callback();
  }
}

/** @returns The table, with responses delivered through a host. */
export function tableAt(host: FakeHost, {table}: Platform): TableStore {
  return {
    read: (keys: readonly string[]) => host.hear(table.read(keys)),
    list: (prefix: string, options?: ListOptions) =>
      host.hear(table.list(prefix, options)),
    write: (transaction: Transaction) => host.hear(table.write(transaction)),
  };
}

/** @returns The object store, with responses delivered through a host. */
export function objectsAt(host: FakeHost, {objects}: Platform): ObjectStore {
  return {
    put: (key: string, bytes: Uint8Array) => host.hear(objects.put(key, bytes)),
    get: (key: string) => host.hear(objects.get(key)),
    delete: (key: string) => host.hear(objects.delete(key)),
  };
}
