/** Orders on their way to the engine. */
import {InvariantError, mayHaveRun} from '@oathead/core';
import type {Clock, EngineClient, Order, OrderOutcome} from '@oathead/core';
import {LRUCache} from 'lru-cache';
import type {FenceGuard} from './fence_checks.js';

const MAX_REMEMBERED = 1_000;

/** Takes orders one after another. */
export class OrderDesk {
  private readonly taken = new LRUCache<string, OrderOutcome>({
    max: MAX_REMEMBERED,
  });
  private last: Promise<unknown> = Promise.resolve();

  /**
   * @param engine - The engine.
   * @param guard - Checks the fences.
   * @param clock - Timeouts are measured on it.
   * @param timeoutMs - Largest wait for the engine, in milliseconds.
   */
  constructor(
    private readonly engine: EngineClient,
    private readonly guard: FenceGuard,
    private readonly clock: Clock,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Guards against an old order that overtakes a new one between the check of
   * its fence and the engine: one order is checked and sent at a time.
   *
   * @param order - The order; a repeated id is the same order.
   * @returns Whether the engine took it.
   */
  give(order: Order): Promise<OrderOutcome> {
    const outcome = this.last.then(() => this.giveNext(order));
    this.last = outcome;
    return outcome;
  }

  private async giveNext(order: Order): Promise<OrderOutcome> {
    const known = this.taken.get(order.id);
    if (known) return known;
    const refusal = this.guard.check(order.fence);
    if (refusal) return {kind: 'refused', refusal};
    const outcome = await this.send(order);
    if (outcome.kind === 'taken') this.taken.set(order.id, outcome);
    return outcome;
  }

  private async send(order: Order): Promise<OrderOutcome> {
    const timeout = new AbortController();
    const onTimeout = () => timeout.abort();
    using timer = this.clock.after(this.timeoutMs, onTimeout);
    void timer;
    try {
      return await this.engine.order(order, timeout.signal);
    } catch (err) {
      if (err instanceof InvariantError) throw err;
      const refusal = mayHaveRun('engine-failed', (err as Error).message);
      return {kind: 'refused', refusal};
    }
  }
}
