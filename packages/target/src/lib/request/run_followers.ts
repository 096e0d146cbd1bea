/** Those who follow runs, and what happens when they leave. */
import {LinkLostError, isFinalEvent} from '@oathead/core';
import type {Clock, ServeEvent, ServeOutcome} from '@oathead/core';
import {followRun} from './follow_run.js';
import type {RunPosition} from './follow_run.js';
import type {TargetRun} from './target_run.js';

/** How runs are followed. */
export interface FollowerSettings {
  /** How long a request outlives its connection, in milliseconds. */
  readonly attachGraceMs: number;
  /** Shortest time between two frames of one stream, in milliseconds. */
  readonly coalesceMs: number;
}

/** Hands runs' events to followers, and ends runs that nobody follows. */
export class RunFollowers {
  private following = 0;

  /**
   * @param settings - How runs are followed.
   * @param clock - The clock of frames and graces.
   * @param cancel - Ends a run that nobody wants.
   */
  constructor(
    private readonly settings: FollowerSettings,
    private readonly clock: Clock,
    private readonly cancel: (run: TargetRun) => void,
  ) {}

  /** How many have not had their last event yet. */
  get count(): number {
    return this.following;
  }

  /**
   * @param run - What to follow.
   * @param from - Where to begin.
   * @param signal - Ends the following; a `LinkLostError` as its reason says
   *     that the follower may come back over another connection.
   * @returns The events, the outcome last.
   */
  async *follow(
    run: TargetRun,
    from: RunPosition,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    const {coalesceMs} = this.settings;
    const place = run.follow();
    this.following++;
    try {
      yield* followRun(run, from, this.clock, coalesceMs, signal);
    } finally {
      place[Symbol.dispose]();
      this.following--;
      this.onLeft(run, signal);
    }
  }

  /**
   * Waits for the end of a run, without a say in whether it goes on.
   *
   * @param run - The run.
   * @param signal - Ends the wait.
   * @returns How it ended; undefined when the wait ended first.
   */
  async outcomeOf(
    run: TargetRun,
    signal: AbortSignal,
  ): Promise<ServeOutcome | undefined> {
    // Leaving counts as a broken connection, not as a caller that has gone.
    const asking = new AbortController();
    const reason = new LinkLostError('asked for long enough');
    const leave = () => asking.abort(reason);
    if (signal.aborted) leave();
    else signal.addEventListener('abort', leave, {once: true});
    const from = {startedSeen: true, tokensSeen: 0, stream: false};
    for await (const event of this.follow(run, from, asking.signal)) {
      if (isFinalEvent(event)) return event;
    }
    return undefined;
  }

  /**
   * Guards against work for nobody, and against an answer lost with its
   * connection: a caller that has gone ends the run, a broken connection only
   * after a grace in which its link can attach again. A request that may run
   * only once is not cancelled with its connection at all: its resend can still
   * have the answer, and cancelled its outcome would be unknown for good.
   */
  private onLeft(run: TargetRun, signal: AbortSignal): void {
    if (run.outcome || run.followers > 0) return;
    const cancel = () => this.cancel(run);
    if (!(signal.reason instanceof LinkLostError)) cancel();
    else if (run.req.idempotent || run.unseen) {
      run.orphaned(this.clock.after(this.settings.attachGraceMs, cancel));
    }
  }
}
