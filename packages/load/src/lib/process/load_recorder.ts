/** Latencies and outcomes of a load. */
import {newLatencyHistogram, recordLatency} from '@oathead/observe';
import type {Histogram} from 'hdr-histogram-js';
import type {SendOutcome} from '../request/send.js';

/** What a load has measured so far. */
export class LoadRecorder {
  /** From the time of sending that was intended to the first part. */
  readonly firstToken: Histogram = newLatencyHistogram();
  /** From one part of an answer to the next. */
  readonly betweenTokens: Histogram = newLatencyHistogram();
  /** From the time of sending that was intended to the end. */
  readonly whole: Histogram = newLatencyHistogram();
  private readonly counts = new Map<string, number>();
  private sentCount = 0;
  private partCount = 0;

  /** Requests that were sent. */
  get sent(): number {
    return this.sentCount;
  }

  /** Parts of answers that came. */
  get parts(): number {
    return this.partCount;
  }

  /** How many requests ended how: `done`, `broken`, or a kind of refusal. */
  get outcomes(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  /**
   * Begins to record one request. Its latency counts from the time at which it
   * was to be sent: a load generator that falls behind while the system is slow
   * must not leave out the very waits that callers would have had.
   *
   * @param intendedAt - When it was to be sent, in milliseconds.
   * @param now - The clock.
   * @returns What its sender tells.
   */
  begin(intendedAt: number, now: () => number): RequestRecord {
    this.sentCount++;
    let lastAt: number | undefined;
    return {
      part: () => {
        const at = now();
        this.partCount++;
        if (lastAt === undefined) {
          recordLatency(this.firstToken, at - intendedAt);
        } else {
          recordLatency(this.betweenTokens, at - lastAt);
        }
        lastAt = at;
      },
      ended: outcome => {
        const name = outcomeName(outcome);
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
        if (outcome.kind === 'done') {
          recordLatency(this.whole, now() - intendedAt);
        }
      },
    };
  }
}

/** Takes what becomes of one request. */
export interface RequestRecord {
  part(): void;
  ended(outcome: SendOutcome): void;
}

function outcomeName(outcome: SendOutcome): string {
  if (outcome.kind !== 'refused') return outcome.kind;
  return `${outcome.refusal} (${outcome.ran})`;
}
