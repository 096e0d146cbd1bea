/** The steps of one piece of work, and what is to happen at one of them. */

/** The steps at which a fault can strike, in their usual order. */
export const STEPS = [
  'accept',
  'claim',
  'dispatch',
  'first token',
  'mid-stream',
  'finish',
  'record outcome',
  'answer',
  'read back',
  'cancel',
  'hand-over',
] as const;

/** A step at which a fault can strike. */
export type Step = (typeof STEPS)[number];

/** Where a step was reached. */
export interface StepPlace {
  /** The entry or target process, if it is known there. */
  readonly process?: string;
  /** The target that the work was sent to. */
  readonly target?: string;
}

/** Told when work reaches a step. */
export class Steps {
  /** Times of each step, in milliseconds, in order. */
  readonly reached = new Map<Step, number>();
  /** The target that the work was last sent to. */
  lastTarget: string | undefined;
  private readonly callbacks = new Map<Step, ((place: StepPlace) => void)[]>();

  /** @param now - Tells the time. */
  constructor(private readonly now: () => number) {}

  /**
   * @param step - A step.
   * @param callback - Called when it is reached for the first time.
   */
  on(step: Step, callback: (place: StepPlace) => void): void {
    const known = this.callbacks.get(step) ?? [];
    this.callbacks.set(step, [...known, callback]);
  }

  /**
   * @param step - The step that work has reached.
   * @param place - Where.
   */
  reach(step: Step, place: StepPlace = {}): void {
    this.lastTarget = place.target ?? this.lastTarget;
    if (this.reached.has(step)) return;
    this.reached.set(step, this.now());
    for (const callback of this.callbacks.get(step) ?? []) callback(place);
  }
}
