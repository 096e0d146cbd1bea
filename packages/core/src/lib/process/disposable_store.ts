/**
 * Ownership of resources: a component adds what it owns to one store, which is
 * disposed of as a whole in reverse order. Replaces `DisposableStack`, which
 * Node.js 20 lacks although it has `Symbol.dispose`.
 */

/** A set of disposables that is disposed of as one. */
export class DisposableStore implements Disposable {
  private readonly disposables: Disposable[] = [];
  private released = false;

  /**
   * Takes ownership of a disposable. A store that is already disposed disposes
   * of it at once, so that an item added late does not leak.
   *
   * @param item - The disposable to own.
   * @returns The same item.
   */
  add<T extends Disposable>(item: T): T {
    if (this.released) item[Symbol.dispose]();
    else this.disposables.push(item);
    return item;
  }

  /**
   * Takes ownership of a clean-up function.
   *
   * @param cleanUp - Called once, when the store is disposed of.
   */
  defer(cleanUp: () => void): void {
    this.add({[Symbol.dispose]: cleanUp});
  }

  /** Whether the store has been disposed of. */
  get disposed(): boolean {
    return this.released;
  }

  /** Disposes of all items in reverse order. Further calls do nothing. */
  [Symbol.dispose](): void {
    if (this.released) return;
    this.released = true;
    while (this.disposables.length > 0)
      this.disposables.pop()![Symbol.dispose]();
  }
}
