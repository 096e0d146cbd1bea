/**
 * Room in the quota of one account that is reserved for callers who were
 * refused and told when to return.
 *
 * Guards against callers who return at the time they were told and find that
 * others have taken the room: later requests, or callers who return without a
 * reservation. A reservation with a key is only taken with that key; any
 * returning caller takes the others. One that nobody takes lapses.
 */

/**
 * How long room is held after its time, in milliseconds: the delay of a caller
 * that opens a new connection, and of a busy host.
 */
const LAPSE_MS = 300;
/** Reservations within this time are counted together, in milliseconds. */
const PART_MS = 25;

interface Promised {
  readonly at: number;
  /** Tells the request apart; undefined if it is not known. */
  readonly key: number | undefined;
  count: number;
}

/** Reservations of one account. */
export class QuotaPromises {
  /** Earliest first. */
  private promised: Promised[] = [];
  private total = 0;
  /** Number of reservations that nobody has taken in time. */
  private lapsed = 0;

  /**
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The number of reservations.
   */
  count(now: number): number {
    while (this.promised.length > 0 && this.promised[0]!.at + LAPSE_MS < now) {
      const {count} = this.promised.shift()!;
      this.total -= count;
      this.lapsed += count;
    }
    return this.total;
  }

  /**
   * @param now - Time on a monotonic clock, in milliseconds.
   * @returns The number of reservations whose time has come.
   */
  due(now: number): number {
    let due = 0;
    for (const {at, count} of this.promised) if (at <= now) due += count;
    return due;
  }

  /** Time of the latest reservation; undefined if there is none. */
  get lastAt(): number | undefined {
    return this.promised.at(-1)?.at;
  }

  /**
   * @param at - Time at which room is reserved for one more request.
   * @param key - Tells the request apart from others of its account.
   */
  add(at: number, key?: number): void {
    const later = this.promised.findIndex(one => one.at > at);
    const index = later < 0 ? this.promised.length : later;
    const before = this.promised[index - 1];
    const isSame = before?.key === undefined && key === undefined;
    if (before && isSame && at < before.at + PART_MS) before.count++;
    else this.promised.splice(index, 0, {at, key, count: 1});
    this.total++;
  }

  /**
   * Takes the reservation of a request, or else the earliest that has no key.
   *
   * @param now - Time on a monotonic clock, in milliseconds.
   * @param key - Tells the request apart from others of its account.
   * @returns Whether there was one whose time has come.
   */
  take(now: number, key?: number): boolean {
    const own = this.promised.findIndex(
      one => key !== undefined && one.key === key,
    );
    const index =
      own >= 0 ? own : this.promised.findIndex(one => one.key === undefined);
    const taken = this.promised[index];
    if (!taken || taken.at > now) return false;
    taken.count--;
    this.total--;
    if (taken.count === 0) this.promised.splice(index, 1);
    return true;
  }

  /** @returns The number of lapsed reservations since the last call. */
  takeLapsed(): number {
    const {lapsed} = this;
    this.lapsed = 0;
    return lapsed;
  }
}
