/** Reports to the admission policy and carries out what it decides. */
import type {
  Admission,
  AdmissionAction,
  AdmissionEvent,
  AdmissionLoad,
  Clock,
  Refusal,
} from '@oathead/core';

/** Makes an admission policy; one is in force at a time. */
export type AdmissionFactory = () => Admission;

/** What admission can have done to a request; `id` is the key of its run. */
export interface AdmissionOrders {
  /** `prefillOnly`: tokens of the prompt that are to be prefilled, no more. */
  start(id: string, prefillOnly?: number): void;
  preempt(id: string): void;
  refuse(id: string, refusal: Refusal): void;
  giveBack(id: string): void;
}

type ActionOf<K extends AdmissionAction['kind']> = Extract<
  AdmissionAction,
  {readonly kind: K}
>;

type ActionHandlers = {
  readonly [K in AdmissionAction['kind']]: (action: ActionOf<K>) => void;
};

const TICK_MS = 20;

/** Drives one admission policy. */
export class AdmissionDriver implements Disposable {
  private readonly events: AdmissionEvent[] = [];
  private readonly active = new Set<string>();
  private readonly handlers: ActionHandlers;
  private busy = false;
  private timer: Disposable | undefined;

  /**
   * @param admission - The policy.
   * @param clock - The clock that the policy sees.
   * @param orders - Carries out what it decides.
   */
  constructor(
    private readonly admission: Admission,
    private readonly clock: Clock,
    orders: AdmissionOrders,
  ) {
    const giveBack = (action: ActionOf<'give-back'>) =>
      orders.giveBack(action.id);
    this.handlers = {
      start: action => orders.start(action.id, action.prefillOnly),
      preempt: action => orders.preempt(action.id),
      refuse: action => orders.refuse(action.id, action.refusal),
      'give-back': giveBack,
    };
  }

  /** @returns The policy's part of a load report. */
  load(): AdmissionLoad {
    return this.admission.load();
  }

  /** Whether nothing waits and the engine is free of all. */
  get idle(): boolean {
    return this.active.size === 0;
  }

  /**
   * Reports what happened. What is reported while actions are carried out is
   * handled behind them, so that the policy never sees itself from within.
   *
   * @param event - What happened.
   */
  report(event: AdmissionEvent): void {
    this.events.push(event);
    if (this.busy) return;
    this.busy = true;
    try {
      this.drain();
    } finally {
      this.busy = false;
    }
  }

  /**
   * Tells that a request waits or runs, so that the policy gets its ticks.
   *
   * @param id - The key of its run.
   */
  begin(id: string): void {
    this.active.add(id);
    this.schedule();
  }

  /** @param id - The key of a run that neither waits nor runs any more. */
  end(id: string): void {
    this.active.delete(id);
  }

  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }

  private drain(): void {
    for (;;) {
      const event = this.events.shift();
      if (event === undefined) return;
      const actions = this.admission.handle(event, this.clock.now());
      for (const action of actions) this.carryOut(action);
    }
  }

  private carryOut<K extends AdmissionAction['kind']>(
    action: ActionOf<K>,
  ): void {
    const handler = this.handlers[action.kind] as (action: ActionOf<K>) => void;
    handler(action);
  }

  private schedule(): void {
    if (this.timer) return;
    this.timer = this.clock.after(TICK_MS, () => {
      this.timer = undefined;
      if (this.active.size === 0) return;
      this.report({kind: 'tick'});
      this.schedule();
    });
  }
}
