/** Hosts that can be paused and lost, as the processes on them notice it. */
import {sleep} from '@oathead/core';
import type {Clock} from '@oathead/core';
import {EventQueue} from '@oathead/wire';
import {setMaxListeners} from 'node:events';

/** Time from a process to a platform service, one way, in milliseconds. */
const STORE_WAY_MS = 1;

/**
 * What a process sees of the world. While it is paused, time goes on and
 * answers arrive, but it notices nothing until it wakes; a dead one notices
 * nothing ever again.
 */
export class Host {
  /** The clock of the process. */
  readonly clock: Clock;
  private paused = false;
  private dead = false;
  private waiting: (() => void)[] = [];
  private readonly death = new AbortController();

  /**
   * @param name - Names the process.
   * @param world - Time outside.
   */
  constructor(
    readonly name: string,
    private readonly world: Clock,
  ) {
    setMaxListeners(0, this.death.signal);
    this.clock = {
      now: () => world.now(),
      wallTime: () => world.wallTime(),
      after: (delayMs, callback) => this.after(delayMs, callback),
    };
  }

  /** Whether the process lives, paused or not. */
  get alive(): boolean {
    return !this.dead;
  }

  /** Aborted when the process dies. */
  get died(): AbortSignal {
    return this.death.signal;
  }

  /** Stops it in its tracks, as `SIGSTOP` does. */
  pause(): void {
    this.paused = true;
  }

  /** Lets it go on as if nothing had happened, as `SIGCONT` does. */
  resume(): void {
    this.paused = false;
    const waiting = this.waiting;
    this.waiting = [];
    for (const callback of waiting) this.enter(callback);
  }

  /** Ends it at once, as `SIGKILL` does. */
  kill(): void {
    this.dead = true;
    this.waiting = [];
    this.death.abort();
  }

  /**
   * Lets something from outside happen to the process, once it runs.
   *
   * @param callback - What the process does about it.
   */
  enter(callback: () => void): void {
    if (this.dead) return;
    if (this.paused) this.waiting.push(callback);
    else callback();
  }

  /**
   * Asks something outside.
   *
   * @param ask - Carried out outside, after the way there.
   * @returns The answer, once the process hears it.
   */
  async call<T>(ask: () => Promise<T>): Promise<T> {
    if (this.dead) return new Promise(() => {});
    await sleep(this.world, STORE_WAY_MS);
    const answer = ask();
    return this.hear(answer);
  }

  /**
   * @param answer - An answer from outside.
   * @returns The same, once the process hears it.
   */
  hear<T>(answer: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      answer.then(
        value => this.enter(() => resolve(value)),
        err => this.enter(() => reject(err as Error)),
      );
    });
  }

  /**
   * Reads a stream from outside. It goes on outside while the process is
   * paused, and is cut when the process dies.
   *
   * @param open - Opens the stream.
   * @param signal - Ends it.
   */
  async *stream<T>(
    open: (signal: AbortSignal) => AsyncIterable<T>,
    signal: AbortSignal,
  ): AsyncGenerator<T, void, undefined> {
    const queue = new EventQueue<T>();
    const ended = new AbortController();
    const either = AbortSignal.any([signal, this.died, ended.signal]);
    const pump = async () => {
      try {
        for await (const event of open(either)) {
          this.enter(() => queue.push(event));
        }
        this.enter(() => queue.end());
      } catch (err) {
        this.enter(() => queue.end(err as Error));
      }
    };
    void pump();
    try {
      yield* queue.read();
    } finally {
      ended.abort();
    }
  }

  private after(delayMs: number, callback: () => void): Disposable {
    let cancelled = false;
    const fire = () => {
      if (!cancelled) callback();
    };
    const timer = this.world.after(delayMs, () => this.enter(fire));
    return {
      [Symbol.dispose]: () => {
        cancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }
}
