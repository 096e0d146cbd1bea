/** The items of a chunk that may run now, by the model or service they need. */

/** The items of a chunk that may run now. */
export class ReadyItems {
  private readonly queues = new Map<string, number[]>();

  /** Models and services with items that may run now. */
  get pools(): readonly string[] {
    return [...this.queues].flatMap(([pool, {length}]) => (length ? pool : []));
  }

  /**
   * @param pool - A model or service.
   * @returns How many items for it may run now.
   */
  count(pool: string): number {
    return this.queues.get(pool)?.length ?? 0;
  }

  /**
   * @param pool - The model or service that an item needs.
   * @param index - Index of the item.
   * @param where - Its place in line.
   */
  put(pool: string, index: number, where: 'first' | 'last'): void {
    const queue = this.queues.get(pool) ?? [];
    this.queues.set(pool, queue);
    if (where === 'first') queue.unshift(index);
    else queue.push(index);
  }

  /**
   * @param pool - A model or service.
   * @param allowed - Which items are allowed.
   * @returns The first such item for it; it is ready no more.
   */
  take(pool: string, allowed: (index: number) => boolean): number | undefined {
    const queue = this.queues.get(pool) ?? [];
    const at = queue.findIndex(allowed);
    return at < 0 ? undefined : queue.splice(at, 1)[0];
  }
}
