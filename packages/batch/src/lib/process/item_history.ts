/** What earlier attempts at the items of a chunk have come to. */
import type {PartialAnswer} from '@oathead/core';

/** What earlier attempts at the items of a chunk have come to. */
export class ItemHistory {
  private readonly attempts = new Map<number, number>();
  private readonly lost: Map<number, number>;
  private readonly returned = new Map<number, number>();
  private readonly partials = new Map<number, PartialAnswer>();

  /** @param losses - Lost attempts, by index, as the chunk's row has them. */
  constructor(losses: Readonly<Record<string, number>>) {
    const entries = Object.entries(losses);
    this.lost = new Map(entries.map(([index, n]) => [Number(index), n]));
  }

  /** Lost attempts, by index, as a chunk's row keeps them. */
  get losses(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.lost);
  }

  /**
   * @param index - Index of an item.
   * @returns Whether this holder has sent it.
   */
  wasSent(index: number): boolean {
    return this.attempts.has(index);
  }

  /**
   * @param index - Index of an item that is about to be sent.
   * @returns The number of this attempt. Attempts of a holder that was lost
   *     before it recorded them are not counted.
   */
  nextAttempt(index: number): number {
    const before = this.attempts.get(index) ?? this.lost.get(index) ?? 0;
    this.attempts.set(index, before + 1);
    return before + 1;
  }

  /**
   * @param index - Index of an item.
   * @returns What an earlier attempt generated.
   */
  partial(index: number): PartialAnswer | undefined {
    return this.partials.get(index);
  }

  /**
   * @param index - An item that lost an attempt.
   * @returns How many it has lost by now.
   */
  countLoss(index: number): number {
    const losses = (this.lost.get(index) ?? 0) + 1;
    this.lost.set(index, losses);
    this.returned.delete(index);
    return losses;
  }

  /**
   * @param index - An item that was given back, for a reason.
   * @returns How often it was since its last loss.
   */
  countReturn(index: number): number {
    const returns = (this.returned.get(index) ?? 0) + 1;
    this.returned.set(index, returns);
    return returns;
  }

  /**
   * @param index - An item that was given back.
   * @param partial - What was generated of it.
   */
  keepPartial(index: number, partial: PartialAnswer): void {
    this.partials.set(index, partial);
  }

  /** @param index - An item that has its outcome. */
  forget(index: number): void {
    this.partials.delete(index);
    this.returned.delete(index);
  }
}
