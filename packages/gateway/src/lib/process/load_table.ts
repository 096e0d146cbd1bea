/**
 * How many requests are in flight at each target: this host's own, and what other
 * hosts and whole data centres have last told of theirs. Their sum stands in for
 * probes of the target, which cost it a slot.
 */
import {CausedLoads} from './caused_loads.js';

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

/** What another host, or a host of another data centre for all of it, said. */
interface HeardLoad {
  readonly load: HostLoad;
  readonly heardAt: number;
}

/** The loads of all hosts of a data centre, as one of them knows them. */
export interface DataCentreLoad {
  readonly dataCentre: string;
  /** How many hosts the sum is over. */
  readonly hosts: number;
  readonly load: HostLoad;
}

interface HeardDataCentre extends HeardLoad {
  readonly hosts: number;
}

/** A host that has said nothing for so long counts as idle, in milliseconds:
 * three of the messages that are sent while nothing changes. */
export const LOAD_LIFETIME_MS = 3000;
/** A sum over less than this share of the hosts of the sum before is dropped. */
const LEAST_SUM_SHARE = 0.75;
/** A sum is kept against one over far fewer hosts for so long, in milliseconds:
 * three of the times at which sums are told. */
const SUM_KEPT_MS = 1000;
/** What a host tells so long after something was caused there tells of it, too, in
 * milliseconds: some round trips inside a data centre. */
const TOLD_AFTER_MS = 30;
/** What another data centre tells so long after something was caused by it tells of
 * it, too, in milliseconds: its coordinator has heard of it by then. */
const FAR_TOLD_AFTER_MS = 80;
/** Until something caused counts as told in any case, in milliseconds. */
const CAUSED_LIFETIME_MS = 500;

const NO_LOAD: TargetLoad = {online: 0, batch: 0};

/** Loads by target, kept up to date by {@link begin} and {@link hear}. */
export class LoadTable {
  private readonly own = new Map<string, HostTargetLoad>();
  private readonly others = new Map<string, HeardLoad>();
  private readonly dataCentres = new Map<string, HeardDataCentre>();
  private readonly caused = new CausedLoads();
  private readonly causedFar = new CausedLoads();
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
    this.settle(this.caused, host, TOLD_AFTER_MS);
    this.unsay(this.others.get(host));
    this.others.set(host, {load, heardAt: this.now()});
    this.say(load);
  }

  /**
   * Counts what another host is about to begin or to end, until it tells so.
   *
   * @param host - Which host was told to.
   * @param targetKey - Where.
   * @param lane - Which lane it is of.
   * @param by - How many requests begin; negative: end.
   */
  cause(host: string, targetKey: string, lane: Lane, by: number): void {
    this.note(this.caused, host, targetKey, lane, by);
  }

  /**
   * The same for a host of another data centre, until that tells its sum.
   *
   * @param dataCentre - Where the host is.
   * @param targetKey - Where the request goes.
   * @param lane - Which lane it is of.
   * @param by - How many requests begin; negative: end.
   */
  causeFar(
    dataCentre: string,
    targetKey: string,
    lane: Lane,
    by: number,
  ): void {
    this.note(this.causedFar, dataCentre, targetKey, lane, by);
  }

  private note(
    causes: CausedLoads,
    name: string,
    key: string,
    lane: Lane,
    by: number,
  ): void {
    const {online, batch} = causes.add(name, key, lane, by, this.now());
    this.shift(key, online, batch);
    if (by > 0 && lane === 'online') this.changed();
  }

  /**
   * Takes the load of another data centre in place of what was heard of it before.
   *
   * Guards against targets that look free to a whole data centre for a moment: a
   * host that has just started, or is cut off from its neighbours, knows next to
   * nothing of their loads. Its sum is over few hosts, and another host's follows.
   *
   * @param heard - Another data centre's load.
   */
  hearDataCentre({dataCentre, hosts, load}: DataCentreLoad): void {
    const before = this.dataCentres.get(dataCentre);
    const heardAt = this.now();
    const isRecent = before && heardAt - before.heardAt < SUM_KEPT_MS;
    if (isRecent && hosts < before.hosts * LEAST_SUM_SHARE) return;
    this.settle(this.causedFar, dataCentre, FAR_TOLD_AFTER_MS);
    this.unsay(before);
    this.dataCentres.set(dataCentre, {load, heardAt, hosts});
    this.say(load);
  }

  /**
   * @param dataCentre - This host's own.
   * @returns The sum over this host and all that it hears of by themselves.
   */
  sumOfHosts(dataCentre: string): DataCentreLoad {
    const load = new Map<string, HostTargetLoad>(this.own);
    for (const other of this.others.values())
      for (const [key, more] of other.load)
        load.set(key, sumOf(load.get(key), more));
    for (const {key, online, batch} of this.caused.all())
      load.set(key, sumOf(load.get(key), {online, batch}));
    return {dataCentre, hosts: this.others.size + 1, load};
  }

  /** @param host - A host that is gone. */
  forget(host: string): void {
    this.settle(this.caused, host, 0);
    this.unsay(this.others.get(host));
    this.others.delete(host);
  }

  /** Forgets all that was heard: it comes in another form from now on. */
  forgetAll(): void {
    for (const host of [...this.others.keys()]) this.forget(host);
    for (const name of [...this.dataCentres.keys()])
      this.forgetDataCentre(name);
  }

  /** Forgets hosts and data centres that have been silent for
   * {@link LOAD_LIFETIME_MS}. */
  expire(): void {
    for (const causes of [this.caused, this.causedFar])
      for (const name of causes.names())
        this.settle(causes, name, CAUSED_LIFETIME_MS);
    const oldest = this.now() - LOAD_LIFETIME_MS;
    for (const [host, {heardAt}] of this.others)
      if (heardAt < oldest) this.forget(host);
    for (const [name, {heardAt}] of this.dataCentres)
      if (heardAt < oldest) this.forgetDataCentre(name);
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
    return withItems(this.others, targetKey);
  }

  /** @returns The same by other data centre, of those that tell theirs as one. */
  dataCentresWithItems(targetKey: string): ReadonlyMap<string, HostTargetLoad> {
    return withItems(this.dataCentres, targetKey);
  }

  private forgetDataCentre(name: string): void {
    this.unsay(this.dataCentres.get(name));
    this.dataCentres.delete(name);
  }

  private add(targetKey: string, lane: Lane, by: number): void {
    const own = this.ownAt(targetKey);
    const next: HostTargetLoad = {...own, [lane]: own[lane] + by};
    if (next.online + next.batch === 0) this.own.delete(targetKey);
    else this.own.set(targetKey, next);
    if (lane === 'online') this.shift(targetKey, by, 0);
    else this.shift(targetKey, 0, by);
  }

  /** Drops what was caused so long ago or longer. */
  private settle(causes: CausedLoads, name: string, olderThanMs: number): void {
    const told = causes.settle(name, this.now() - olderThanMs);
    for (const {key, online, batch} of told) this.shift(key, -online, -batch);
  }

  private say(load: HostLoad): void {
    for (const [key, {online, batch}] of load) this.shift(key, online, batch);
    this.changed();
  }

  private unsay(heard: HeardLoad | undefined): void {
    if (!heard) return;
    for (const [key, {online, batch}] of heard.load)
      this.shift(key, -online, -batch);
  }

  private shift(targetKey: string, online: number, batch: number): void {
    const total = this.at(targetKey);
    const next = {online: total.online + online, batch: total.batch + batch};
    // Not by their sum: a holder may tell that an item has ended before what was
    // caused at it is settled, and one lane is negative for that moment.
    const isIdle = next.online === 0 && next.batch === 0;
    if (isIdle) this.totals.delete(targetKey);
    else this.totals.set(targetKey, next);
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}

function withItems(
  heard: ReadonlyMap<string, HeardLoad>,
  targetKey: string,
): ReadonlyMap<string, HostTargetLoad> {
  const loads = new Map<string, HostTargetLoad>();
  for (const [name, {load}] of heard) {
    const here = load.get(targetKey);
    if (here && here.batch > 0) loads.set(name, here);
  }
  return loads;
}

function sumOf(
  a: HostTargetLoad | undefined,
  b: HostTargetLoad,
): HostTargetLoad {
  if (!a) return {...b, batch: Math.max(0, b.batch)};
  return {
    online: Math.max(0, a.online + b.online),
    batch: Math.max(0, a.batch + b.batch),
    nearlyDone: (a.nearlyDone ?? 0) + (b.nearlyDone ?? 0),
  };
}
