/** The target's load reports, asked for and pushed. */
import {DisposableStore} from '@oathead/core';
import type {Clock, LoadReport} from '@oathead/core';

/** How load is pushed to those that subscribe. */
export interface LoadBoardSettings {
  /** Shortest time between two pushes to one subscriber, in milliseconds. */
  readonly pushMs: number;
  /** Control bytes that pushes to all subscribers may use in a second. */
  readonly bytesPerSecond: number;
}

/** Everything of a report but its sequence. */
export type LoadState = Omit<LoadReport, 'sequence'>;

/** A pushed change on the wire: five numbers in their frame, as measured. */
const BYTES_PER_PUSH = 150;
const MS_PER_SECOND = 1_000;

/** Fields that entries must hear of at once, whatever the rate. */
const URGENT: readonly (keyof LoadState)[] = [
  'leaving',
  'engineDown',
  'cfgRevision',
  'versions',
];

/** Makes numbered reports and wakes subscribers when they have changed. */
export class LoadBoard {
  private readonly subscribers = new Set<() => void>();
  private sequence = 0;
  private published: LoadState | undefined;

  /**
   * @param read - The load as of now.
   * @param settings - How load is pushed.
   * @param clock - The clock that pushes are timed on.
   */
  constructor(
    private readonly read: () => LoadState,
    private readonly settings: LoadBoardSettings,
    private readonly clock: Clock,
  ) {}

  /** @returns A report of the load as of now. */
  report(): LoadReport {
    return {...this.read(), sequence: ++this.sequence};
  }

  /** Tells that the load may have changed. */
  touch(): void {
    if (this.subscribers.size === 0) return;
    const state = this.read();
    if (this.published && isSame(this.published, state)) return;
    this.published = state;
    for (const wake of this.subscribers) wake();
  }

  /**
   * @param signal - Ends the reports.
   * @returns A report at once, then one whenever the load has changed: urgent
   *     changes at once, others within the rate that all subscribers share.
   */
  async *reports(
    signal: AbortSignal,
  ): AsyncGenerator<LoadReport, void, undefined> {
    const waiting = {wake: () => {}};
    const onTouch = () => waiting.wake();
    this.subscribers.add(onTouch);
    try {
      let sent: LoadReport | undefined;
      let sentAt = -Infinity;
      while (!signal.aborted) {
        const waitMs = this.waitBefore(sent, sentAt);
        if (waitMs <= 0) {
          sent = this.report();
          sentAt = this.clock.now();
          yield sent;
        } else {
          await this.pause(waiting, waitMs, signal);
        }
      }
    } finally {
      this.subscribers.delete(onTouch);
    }
  }

  private waitBefore(sent: LoadReport | undefined, sentAt: number): number {
    if (!sent) return 0;
    const state = this.read();
    if (URGENT.some(field => !isSameField(sent, state, field))) return 0;
    if (isSame(sent, state)) return Infinity;
    return sentAt + this.pushMs() - this.clock.now();
  }

  /** Control is bounded a node: the more subscribers, the rarer the pushes. */
  private pushMs(): number {
    const {pushMs, bytesPerSecond} = this.settings;
    const perRound = this.subscribers.size * BYTES_PER_PUSH;
    return Math.max(pushMs, (perRound * MS_PER_SECOND) / bytesPerSecond);
  }

  private pause(
    waiting: {wake: () => void},
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      const pending = new DisposableStore();
      const done = () => {
        pending[Symbol.dispose]();
        resolve();
      };
      waiting.wake = done;
      pending.defer(() => (waiting.wake = () => {}));
      if (waitMs < Infinity) pending.add(this.clock.after(waitMs, done));
      signal.addEventListener('abort', done, {once: true});
      pending.defer(() => signal.removeEventListener('abort', done));
    });
  }
}

function isSame(a: LoadState, b: LoadState): boolean {
  return (Object.keys(b) as (keyof LoadState)[]).every(field =>
    isSameField(a, b, field),
  );
}

function isSameField(
  a: LoadState,
  b: LoadState,
  field: keyof LoadState,
): boolean {
  if (a[field] === b[field]) return true;
  if (typeof b[field] !== 'object') return false;
  return JSON.stringify(a[field]) === JSON.stringify(b[field]);
}
