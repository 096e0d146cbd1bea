/**
 * What one run of an item shows of crashes. Items are never requests that crash
 * targets: a crash under one is no evidence against it or the parts of its
 * prompt. One that gets through shows that its parts crash nothing.
 */
import {
  isWholeSuccess,
  mayHaveCrashed,
  RunProgress,
  type EventSink,
  type ExchangeOutcome,
  type PromptParts,
  type PromptSuspects,
} from '@oathead/gateway';
import type {Clock} from '@oathead/core';

/** Dependencies of {@link ItemEvidence}. */
export interface ItemEvidenceContext {
  readonly clock: Clock;
  readonly promptSuspects: Pick<PromptSuspects, 'recordCompletedRun'>;
}

/** A run of an item that has just begun. */
export class ItemEvidence {
  private readonly progress: RunProgress;

  /**
   * @param context - Told of the parts that get through.
   * @param prompt - Parts of the prompt of the item.
   */
  constructor(
    private readonly context: ItemEvidenceContext,
    private readonly prompt: PromptParts,
  ) {
    const {clock, promptSuspects} = context;
    this.progress = new RunProgress(
      () => clock.now(),
      () => promptSuspects.recordCompletedRun(prompt),
    );
  }

  /**
   * @param sink - Receives the events of the run.
   * @returns A sink that passes them on and notes when they come.
   */
  watched(sink: EventSink): EventSink {
    return this.progress.watched(sink);
  }

  /** Whether the run has lasted too long to crash its target. */
  get hasLasted(): boolean {
    return this.progress.hasLasted;
  }

  /**
   * @param outcome - Outcome of the run.
   * @returns Whether its target seems to have crashed when it began to answer.
   */
  recordOutcome(outcome: ExchangeOutcome): boolean {
    const {hasLasted} = this.progress;
    if (isWholeSuccess(outcome) && !hasLasted)
      this.context.promptSuspects.recordCompletedRun(this.prompt);
    return mayHaveCrashed(outcome) && !hasLasted;
  }
}
