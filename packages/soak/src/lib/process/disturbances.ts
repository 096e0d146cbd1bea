/** When something was wrong in a run, and when nothing was. */
import {withoutSpans, type TimeSpan} from '@oathead/platform/stand_ins';

/** The times of all faults of a run, until programs serve again. */
export class Disturbances {
  private readonly spans: Array<{readonly from: number; to: number}> = [];

  /** @param fault - Resolves when it is undone. */
  async during(fault: Promise<void>): Promise<void> {
    const span = {from: Date.now(), to: Infinity};
    this.spans.push(span);
    await fault;
    span.to = Date.now();
  }

  /**
   * @param until - When the run ended, on the time of day in milliseconds.
   * @returns When nothing was wrong, on the time of day in milliseconds.
   */
  calmUntil(until: number): readonly TimeSpan[] {
    return withoutSpans([{from: 0, to: until}], this.spans);
  }
}
