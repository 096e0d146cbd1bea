/** Leads rollouts: the one holder that orders engines, while it is one. */
import {DisposableStore, isOrderPending, repeat} from '@oathead/core';
import type {
  Clock,
  Counters,
  Fence,
  Order,
  OrderOutcome,
  Random,
  RolloutEvent,
} from '@oathead/core';
import type {Membership} from '@oathead/membership';
import type {TableStore, WeightStore} from '@oathead/stores';
import type {FleetView} from '../version/fleet_view.js';
import {chooseOrders, modelsToRollOut} from '../version/rollout_plan.js';
import {
  ROLLOUT_DEFAULTS,
  moveStep,
  newStep,
  observeStep,
} from '../version/rollout_step.js';
import type {
  OrderWish,
  RolloutFacts,
  RolloutSettings,
  RolloutStep,
} from '../version/rollout_step.js';
import {raiseOrderFence} from './order_fence.js';

/** Sends orders to target processes. */
export interface OrderSender {
  /**
   * @param target - A declared target.
   * @param order - The order.
   * @param signal - Aborted when its outcome is awaited no longer.
   * @returns The outcome; undefined when it is not known.
   */
  send(
    target: string,
    order: Order,
    signal: AbortSignal,
  ): Promise<OrderOutcome | undefined>;
}

/** What a leader is made of. */
export interface RolloutLeaderOptions {
  readonly table: TableStore;
  readonly weights: WeightStore;
  readonly membership: Pick<Membership, 'entryId' | 'shareOf' | 'fence'>;
  /** What is known of the fleet now. */
  readonly fleet: () => FleetView;
  readonly orders: OrderSender;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly settings?: Partial<RolloutSettings>;
}

/** The key whose share leads: one holder for all models, so that one counts what is read from the weight store. */
const LEADER_KEY = 'rollouts';
const TICK_MS = 1_000;
const ORDER_TIMEOUT_MS = 10_000;
const WEIGHTS_PERIOD_MS = 60_000;
/** While the weight store has not said what it bears. */
const CAUTIOUS_READS = 1;

/** One term as the holder. */
interface Term {
  fence: Fence;
  /** An order's outcome was lost: it may still arrive, and must be refused. */
  fenceIsStale: boolean;
  readonly steps: Map<string, RolloutStep>;
  /** Before this nothing is ordered: loads of an earlier holder show up first. */
  readonly beginsAt: number;
}

/**
 * Orders engines from version to version, target by target.
 *
 * Guards against a holder that was paused and carries on: before each order it
 * asks membership, which counts by this process's own clock and ends before the
 * lease could be another's. An order that it had sent before it was paused
 * carries its token, and the next holder's first order to each target carries a
 * higher one, so the old one is refused by the engine or by the target process
 * in its place.
 */
export class RolloutLeader implements Disposable {
  private readonly held = new DisposableStore();
  private readonly settings: RolloutSettings;
  private readonly share: number;
  private term: Term | undefined;
  private concurrentReads = CAUTIOUS_READS;
  private weightsReadAt = -Infinity;

  /** @param options - What it is made of. */
  constructor(private readonly options: RolloutLeaderOptions) {
    this.settings = {...ROLLOUT_DEFAULTS, ...options.settings};
    this.share = options.membership.shareOf(LEADER_KEY);
  }

  /** Leads whenever this entry is the holder, until disposed. */
  start(): void {
    this.held.add(repeat(this.options.clock, TICK_MS, () => this.tick()));
  }

  /** Where each model stands at each target; empty when another leads. */
  steps(): readonly RolloutStep[] {
    return [...(this.term?.steps.values() ?? [])];
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  /** Decides and sends once. Outcomes are taken in as they come. */
  async tick(): Promise<void> {
    const term = await this.currentTerm();
    if (!term) return;
    await this.readWeightStore();
    const {clock} = this.options;
    const facts: RolloutFacts = {
      fleet: this.options.fleet(),
      settings: this.settings,
      now: clock.now(),
    };
    this.reconcile(term, facts);
    if (facts.now < term.beginsAt) return;
    if (term.fenceIsStale && !(await this.raiseFence(term))) return;
    const steps = [...term.steps.values()];
    for (const [step, wish] of chooseOrders(
      steps,
      facts,
      this.concurrentReads,
    )) {
      void this.order(term, step, wish);
    }
  }

  private async currentTerm(): Promise<Term | undefined> {
    const {membership, clock, counters} = this.options;
    if (!membership.fence(this.share)) {
      if (this.term) counters.count('rollout_terms', {event: 'ended'});
      this.term = undefined;
      return undefined;
    }
    if (this.term) return this.term;
    const fence = await this.newFence();
    if (!fence || !membership.fence(this.share)) return undefined;
    counters.count('rollout_terms', {event: 'begun'});
    this.term = {
      fence,
      fenceIsStale: false,
      steps: new Map(),
      beginsAt: clock.now() + ORDER_TIMEOUT_MS + this.settings.reportLagMs,
    };
    return this.term;
  }

  private async newFence(): Promise<Fence | undefined> {
    const {membership, table, clock, random} = this.options;
    const check = membership.fence(this.share);
    if (!check) return undefined;
    const holder = membership.entryId;
    const raised = await raiseOrderFence({table, clock, random, holder, check});
    return raised.ok ? raised.value : undefined;
  }

  private async raiseFence(term: Term): Promise<boolean> {
    const fence = await this.newFence();
    if (!fence) return false;
    term.fence = fence;
    term.fenceIsStale = false;
    return true;
  }

  private async readWeightStore(): Promise<void> {
    const {weights, clock} = this.options;
    if (clock.now() - this.weightsReadAt < WEIGHTS_PERIOD_MS) return;
    this.weightsReadAt = clock.now();
    const read = await weights.concurrentLoads();
    if (read.ok) this.concurrentReads = read.value;
  }

  /** Brings the steps up to what is declared and reported. */
  private reconcile(term: Term, facts: RolloutFacts): void {
    const declared = new Set<string>();
    for (const {name: model, spec} of modelsToRollOut(facts.fleet.snapshot)) {
      for (const target of facts.fleet.poolTargets(model).declared) {
        const key = `${model}/${target}`;
        declared.add(key);
        const step = term.steps.get(key) ?? newStep(model, target, facts.now);
        term.steps.set(key, observeStep(step, spec.version!, facts));
      }
    }
    for (const [key, {state}] of term.steps) {
      if (!declared.has(key) && !isOrderPending(state)) term.steps.delete(key);
    }
  }

  private async order(
    term: Term,
    {model, target, wanted}: RolloutStep,
    {action, reads}: OrderWish,
  ): Promise<void> {
    const {clock, random, counters, membership, orders} = this.options;
    const key = `${model}/${target}`;
    // The loop that called has not waited since this entry was the holder, but
    // a pause of the process may have been in between.
    if (!membership.fence(this.share)) return;
    this.update(term, key, {type: 'sent'}, {reading: reads});
    const timeout = new AbortController();
    using timer = clock.after(ORDER_TIMEOUT_MS, () => timeout.abort());
    void timer;
    const order: Order = {id: random.id(), fence: term.fence, action};
    const outcome = await orders.send(target, order, timeout.signal);
    const type = outcomeOf(outcome);
    counters.count('rollout_orders', {action: action.kind, outcome: type});
    if (type === 'lost') term.fenceIsStale = true;
    this.update(
      term,
      key,
      {type},
      {
        wanted,
        orderedAt: clock.now(),
        reading: reads && type !== 'refused',
      },
    );
  }

  private update(
    term: Term,
    key: string,
    event: RolloutEvent,
    changes: Partial<RolloutStep>,
  ): void {
    const step = term.steps.get(key);
    if (!step) return;
    const moved = moveStep(step, event, this.options.clock.now());
    term.steps.set(key, {...moved, ...changes});
  }
}

/** What is refused after it may have run is as open as what is lost. */
function outcomeOf(
  outcome: OrderOutcome | undefined,
): 'taken' | 'refused' | 'lost' {
  if (!outcome) return 'lost';
  if (outcome.kind === 'taken') return 'taken';
  return outcome.refusal.ran === 'may-have-run' ? 'lost' : 'refused';
}
