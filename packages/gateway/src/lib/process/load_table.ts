/**
 * How many requests are in flight at each target: this host's own, and what
 * other hosts have last told of theirs. Their sum stands in for probes of the
 * target, which cost it a slot.
 */

/** Online requests go before items of batch jobs. */
export type Lane = 'online' | 'batch';

/** Requests in flight at one target. */
export interface TargetLoad {
  readonly online: number;
  readonly batch: number;
}

/** One host's requests in flight at one target. */
export interface HostTargetLoad extends TargetLoad {
  /** Of its batch items, those that give way last; left out: none. */
  readonly nearlyDone?: number;
}

/** One host's requests in flight, by target. */
export type HostLoad = ReadonlyMap<string, HostTargetLoad>;

/** What another host said of a target. */
interface HeardLoad {
  readonly load: HostLoad;
  readonly heardAt: number;
}

/** A host that has said nothing for so long counts as idle, in milliseconds:
 * three of the messages that are sent while nothing changes. */
export const LOAD_LIFETIME_MS = 3000;

const NO_LOAD: TargetLoad = {online: 0, batch: 0};

/** Loads by target, kept up to date by {@link begin} and {@link hear}. */
export class LoadTable {
  private readonly own = new Map<string, HostTargetLoad>();
  private readonly others = new Map<string, HeardLoad>();
  private readonly totals = new Map<string, TargetLoad>();
  private readonly listeners: Array<() => void> = [];

  /** @param now - A steady clock, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** @param listener - Called whenever a load may have gone down or up. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * @param targetKey - Where a request goes.
   * @param lane - Which lane it is of.
   * @returns To be disposed when the request has ended.
   */
  begin(targetKey: string, lane: Lane): Disposable {
    this.add(targetKey, lane, 1);
    // An item beside it may have to give way at once.
    if (lane === 'online') this.changed();
    return {
      [Symbol.dispose]: () => {
        this.add(targetKey, lane, -1);
        this.changed();
      },
    };
  }

  /**
   * @param targetKey - A target with items of this host.
   * @param nearlyDone - How many of them give way last.
   */
  markNearlyDone(targetKey: string, nearlyDone: number): void {
    const own = this.own.get(targetKey);
    if (own) this.own.set(targetKey, {...own, nearlyDone});
  }

  /** This host's own requests in flight; targets without any are left out. */
  get ownLoad(): HostLoad {
    return this.own;
  }

  /**
   * @param host - Who says it.
   * @param load - All its requests in flight.
   */
  hear(host: string, load: HostLoad): void {
    this.unsay(host);
    this.others.set(host, {load, heardAt: this.now()});
    for (const [key, {online, batch}] of load) this.shift(key, online, batch);
    this.changed();
  }

  /** @param host - A host that is gone. */
  forget(host: string): void {
    this.unsay(host);
    this.others.delete(host);
  }

  /** Forgets hosts that have been silent for {@link LOAD_LIFETIME_MS}. */
  expire(): void {
    const oldest = this.now() - LOAD_LIFETIME_MS;
    for (const [host, {heardAt}] of this.others)
      if (heardAt < oldest) this.forget(host);
  }

  /** @returns The sum over all hosts. */
  at(targetKey: string): TargetLoad {
    return this.totals.get(targetKey) ?? NO_LOAD;
  }

  /** @returns This host's own share of it. */
  ownAt(targetKey: string): HostTargetLoad {
    return this.own.get(targetKey) ?? NO_LOAD;
  }

  /** @returns The load of a target by host, of hosts that have items there. */
  hostsWithItems(targetKey: string): ReadonlyMap<string, HostTargetLoad> {
    const loads = new Map<string, HostTargetLoad>();
    for (const [host, {load}] of this.others) {
      const here = load.get(targetKey);
      if (here && here.batch > 0) loads.set(host, here);
    }
    return loads;
  }

  private add(targetKey: string, lane: Lane, by: number): void {
    const own = this.ownAt(targetKey);
    const next: HostTargetLoad = {...own, [lane]: own[lane] + by};
    if (next.online + next.batch === 0) this.own.delete(targetKey);
    else this.own.set(targetKey, next);
    if (lane === 'online') this.shift(targetKey, by, 0);
    else this.shift(targetKey, 0, by);
  }

  private unsay(host: string): void {
    const load = this.others.get(host)?.load ?? new Map<string, TargetLoad>();
    for (const [key, {online, batch}] of load) this.shift(key, -online, -batch);
  }

  private shift(targetKey: string, online: number, batch: number): void {
    const total = this.at(targetKey);
    const next = {online: total.online + online, batch: total.batch + batch};
    if (next.online + next.batch === 0) this.totals.delete(targetKey);
    else this.totals.set(targetKey, next);
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
