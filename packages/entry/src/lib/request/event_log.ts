/**
 * The events of one running request, for any number of readers: the caller who
 * sent it and those who sent it again.
 */
import {isFinalEvent} from '@oathead/core';
import type {ServeEvent, ServeOutcome} from '@oathead/core';

/** Collects events and replays them to each reader from the start. */
export class EventLog {
  private readonly events: ServeEvent[] = [];
  private readonly waiting = new Set<() => void>();
  private readers = 0;
  private end: ServeOutcome | undefined;

  /**
   * @param onIdle - Called when the last reader has gone before the end.
   */
  constructor(private readonly onIdle: () => void = () => {}) {}

  /** The final event, once there is one. */
  get outcome(): ServeOutcome | undefined {
    return this.end;
  }

  /** @param event - The next event; none may follow a final one. */
  push(event: ServeEvent): void {
    this.events.push(event);
    if (isFinalEvent(event)) this.end = event;
    for (const wake of this.waiting) wake();
    this.waiting.clear();
  }

  /**
   * @param signal - Ends the reading early.
   * @returns Every event from the first, up to the final one.
   */
  async *read(signal: AbortSignal): AsyncGenerator<ServeEvent> {
    this.readers++;
    try {
      for (let next = 0; !signal.aborted; next++) {
        while (next >= this.events.length && !signal.aborted) {
          await this.changed(signal);
        }
        const event = this.events[next];
        if (!event) return;
        yield event;
        if (isFinalEvent(event)) return;
      }
    } finally {
      this.readers--;
      if (this.readers === 0 && !this.end) this.onIdle();
    }
  }

  private changed(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        signal.removeEventListener('abort', done);
        this.waiting.delete(done);
        resolve();
      };
      this.waiting.add(done);
      signal.addEventListener('abort', done, {once: true});
    });
  }
}
