/** A queue that turns callbacks into an asynchronous iteration. */

/** An unbounded queue with a single reader, closed by its writer. */
export class EventQueue<T> {
  private readonly events: T[] = [];
  private wake: (() => void) | undefined;
  private ended = false;
  private error: Error | undefined;

  /**
   * Appends an event. Does nothing once the queue has ended.
   *
   * @param event - The event to append; must not be `undefined`.
   */
  push(event: T): void {
    if (this.ended) return;
    this.events.push(event);
    this.wake?.();
  }

  /**
   * Ends the iteration once the queued events have been read. Only the first
   * call has an effect.
   *
   * @param error - Error thrown to the reader after the last event, if any.
   */
  end(error?: Error): void {
    if (this.ended) return;
    this.ended = true;
    this.error = error;
    this.wake?.();
  }

  /**
   * Reads the queue; may be called by one reader only.
   *
   * @returns The events in the order in which they were pushed.
   * @throws The error passed to {@link EventQueue.end}, if any.
   */
  async *read(): AsyncGenerator<T, void, undefined> {
    for (;;) {
      const event = this.events.shift();
      if (event !== undefined) yield event;
      else if (this.ended) break;
      else await new Promise<void>(resolve => (this.wake = resolve));
    }
    if (this.error) throw this.error;
  }
}
