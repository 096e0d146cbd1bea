/** Events handed from callbacks to an iteration. */

/** A queue with one reader, ended or failed by its writer. */
export class EventQueue<T> {
  private readonly events: T[] = [];
  private wake: (() => void) | undefined;
  private ended = false;
  private error: Error | undefined;

  /** @param event - What the reader gets next. */
  push(event: T): void {
    if (this.ended) return;
    this.events.push(event);
    this.wake?.();
  }

  /**
   * Ends the iteration behind what is queued.
   *
   * @param error - What the reader gets thrown at the end, if anything.
   */
  end(error?: Error): void {
    if (this.ended) return;
    this.ended = true;
    this.error = error;
    this.wake?.();
  }

  /**
   * @returns The events, in order.
   * @throws What the queue was ended with.
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
