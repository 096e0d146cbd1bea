/** Everything about the engine but its requests: health, load and orders. */
import type {
  EngineClient,
  FenceCheck,
  Order,
  OrderOutcome,
} from '@oathead/core';
import type {LiveRunParts} from '../request/live_run.js';
import {EngineWatch} from './engine_watch.js';
import type {EngineWatchEvents, EngineWatchSettings} from './engine_watch.js';
import {fenceGuard} from './fence_checks.js';
import type {FenceGuard} from './fence_checks.js';
import {OrderDesk} from './order_desk.js';

/** How the engine is watched and ordered. */
export interface EngineSettings extends EngineWatchSettings {
  readonly fenceCheck: FenceCheck;
  /** Largest wait for the engine to take an order, in milliseconds. */
  readonly orderTimeoutMs: number;
}

/** One engine's watch and orders. */
export class EngineDesk implements Disposable {
  readonly watch: EngineWatch;
  private readonly guard: FenceGuard;
  private readonly orders: OrderDesk;

  /**
   * @param engine - The engine.
   * @param settings - How it is watched and ordered.
   * @param parts - Clock and counters.
   * @param events - Told what is learnt of the engine.
   */
  constructor(
    engine: EngineClient,
    settings: EngineSettings,
    {clock, metrics}: LiveRunParts,
    events: EngineWatchEvents,
  ) {
    this.watch = new EngineWatch(engine, settings, clock, metrics, events);
    this.guard = fenceGuard(settings.fenceCheck);
    const {orderTimeoutMs} = settings;
    this.orders = new OrderDesk(engine, this.guard, clock, orderTimeoutMs);
  }

  /**
   * @param token - Of the current holder of orders, read after this boot.
   */
  learnFence(token: number): void {
    this.guard.learn(token);
  }

  /**
   * @param order - An order.
   * @returns Whether the engine took it.
   */
  order(order: Order): Promise<OrderOutcome> {
    return this.orders.give(order);
  }

  [Symbol.dispose](): void {
    this.watch[Symbol.dispose]();
  }
}
