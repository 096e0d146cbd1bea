/** A list of callbacks for one kind of event. */

/** The callbacks of one kind of event, each registered until disposed. */
export class Callbacks<T, R = void> {
  private readonly callbacks = new Set<(value: T) => R>();

  /**
   * @param callback - Called with the value of each event.
   * @returns A disposable that unregisters the callback.
   */
  add(callback: (value: T) => R): Disposable {
    this.callbacks.add(callback);
    return {[Symbol.dispose]: () => this.callbacks.delete(callback)};
  }

  /**
   * Calls all callbacks in the order of their registration.
   *
   * @param value - The value of the event.
   * @returns The return value of each callback, in the same order.
   */
  call(value: T): readonly R[] {
    return [...this.callbacks].map(callback => callback(value));
  }
}
