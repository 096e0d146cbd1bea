/** Callbacks of one event. */

/** Callbacks of one event, each until it is disposed of. */
export class Callbacks<T, R = void> {
  private readonly callbacks = new Set<(value: T) => R>();

  /**
   * @param callback - Called with each value.
   * @returns A disposable that ends the calls.
   */
  add(callback: (value: T) => R): Disposable {
    this.callbacks.add(callback);
    return {[Symbol.dispose]: () => this.callbacks.delete(callback)};
  }

  /**
   * @param value - What happened.
   * @returns What each callback returned.
   */
  call(value: T): readonly R[] {
    return [...this.callbacks].map(callback => callback(value));
  }
}
