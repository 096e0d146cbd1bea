/**
 * Goes on with a stream from another source, behind what the caller already
 * has. The other source tells the answer from its start.
 */
import {isFinalEvent, mayHaveRun} from '@oathead/core';
import type {ServeEvent} from '@oathead/core';

/** What a caller has been sent so far. */
export class Delivered {
  private text = '';
  private tokens = 0;
  private started = false;

  /** Whether anything was sent. */
  get any(): boolean {
    return this.started;
  }

  /** @param event - An event that goes to the caller now. */
  note(event: ServeEvent): void {
    this.started = true;
    if (event.kind !== 'tokens') return;
    this.text += event.text;
    this.tokens += event.count;
  }

  /**
   * @param events - The answer from its start, by another source.
   * @returns What the caller does not have yet. When the other source gives
   *     another answer, the stream ends with a refusal: a caller must never
   *     get parts of two answers as one.
   */
  async *rest(events: AsyncIterable<ServeEvent>): AsyncGenerator<ServeEvent> {
    let seen = '';
    let tokens = 0;
    for await (const event of events) {
      if (event.kind === 'started') {
        if (!this.started) yield event;
        continue;
      }
      if (isFinalEvent(event)) {
        yield this.agrees(event) ? event : ANOTHER_ANSWER;
        return;
      }
      seen += event.text;
      tokens += event.count;
      if (!overlaps(seen, this.text)) {
        yield ANOTHER_ANSWER;
        return;
      }
      if (seen.length <= this.text.length) continue;
      const fresh = seen.slice(this.text.length);
      const index = this.tokens;
      const count = Math.max(0, tokens - index);
      this.text = seen;
      this.tokens = tokens;
      yield {kind: 'tokens', index, count, text: fresh};
    }
  }

  private agrees(event: ServeEvent): boolean {
    if (event.kind !== 'done') return true;
    if (event.answer.kind !== 'completion') return true;
    return event.answer.text.startsWith(this.text);
  }
}

const ANOTHER_ANSWER: ServeEvent = {
  kind: 'refused',
  refusal: mayHaveRun('target-lost', 'the stream broke and cannot be resumed'),
};

function overlaps(a: string, b: string): boolean {
  return a.length < b.length ? b.startsWith(a) : a.startsWith(b);
}
