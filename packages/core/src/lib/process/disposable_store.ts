/**
 * Ownership and clean-up: what a component holds is gathered in one store and
 * released together, last first. Node.js 20 has `Symbol.dispose` but no
 * `DisposableStack`.
 */

/** A set of disposables that is released as one. */
export class DisposableStore implements Disposable {
  private readonly held: Disposable[] = [];
  private released = false;

  /**
   * Takes ownership of a disposable. A store that is already released releases
   * it at once, so that a late arrival does not leak.
   *
   * @param item - What to own.
   * @returns The same item.
   */
  add<T extends Disposable>(item: T): T {
    if (this.released) item[Symbol.dispose]();
    else this.held.push(item);
    return item;
  }

  /**
   * Takes ownership of a clean-up function.
   *
   * @param cleanUp - Called once, on release.
   */
  defer(cleanUp: () => void): void {
    this.add({[Symbol.dispose]: cleanUp});
  }

  /** Whether the store was released. */
  get disposed(): boolean {
    return this.released;
  }

  /** Releases all that is held, last first. Releasing twice does nothing. */
  [Symbol.dispose](): void {
    if (this.released) return;
    this.released = true;
    while (this.held.length > 0) this.held.pop()![Symbol.dispose]();
  }
}
