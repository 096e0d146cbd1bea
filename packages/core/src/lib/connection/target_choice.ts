/**
 * Chooses the target of a request. Reported loads lag, so they are corrected by
 * the entry's own sends since; of two random targets the less loaded one is
 * taken, which keeps many entries with old reports from all choosing the same.
 */
import {LRUCache} from 'lru-cache';
import {TargetHealth} from './target_health.js';
import {hash32} from '../process/hash.js';
import type {LoadReport} from '../process/load_report.js';
import type {Random} from '../process/random.js';
import type {ServeClass} from '../request/serve.js';

/** What a target is wanted for. */
export interface ChoiceRequest {
  readonly pool: string;
  readonly class: ServeClass;
  readonly promptTokens: number;
  /** Where an adapter is loaded already, the request is quicker. */
  readonly adapter?: string;
  /** Names the beginning of the prompt, as targets cache it. */
  readonly prefix?: string;
  /** Targets that are out: tried already. */
  readonly tried: ReadonlySet<string>;
}

/** What the choice weighs; a bench sweeps them. */
export interface ChoiceTuning {
  /** A target may have this multiple of the mean load for affinity's sake. */
  readonly affinityBound: number;
  /** Milliseconds that one prompt token ahead costs, until learnt. */
  readonly prefillTokenMs: number;
  /** Milliseconds that a request beyond the capacity costs. */
  readonly overCapacityMs: number;
}

/** Values that held up on all traces. */
export const DEFAULT_CHOICE_TUNING: ChoiceTuning = {
  affinityBound: 2,
  prefillTokenMs: 0.1,
  overCapacityMs: 100,
};

/** Targets among which a new prefix chooses. */
const AFFINITY_CHOICES = 2;
/** Requests beyond the bound that do not yet make a target busy. */
const AFFINITY_SLACK = 4;
/** Prefixes that are kept in mind. */
const MAX_HOMES = 10_000;

interface Sent {
  readonly at: number;
  readonly class: ServeClass;
  readonly promptTokens: number;
}

interface TargetView {
  report: LoadReport;
  reportedAt: number;
  sentSince: Sent[];
}

/** How an entry knows its surroundings. */
export interface ChoiceOptions {
  readonly dataCentre: string;
  /** Round trip to a data centre, in milliseconds. */
  readonly roundTripMs: (dataCentre: string) => number;
  readonly random: Random;
  readonly tuning?: ChoiceTuning;
}

/** Chooses targets for one entry. */
export class TargetChooser {
  /** Shares of targets that stand out. */
  readonly health = new TargetHealth();
  private readonly views = new Map<string, TargetView>();
  private readonly blocked = new Set<string>();
  private readonly homes = new LRUCache<string, string>({max: MAX_HOMES});
  private readonly tuning: ChoiceTuning;

  /** @param options - The entry's surroundings. */
  constructor(private readonly options: ChoiceOptions) {
    this.tuning = options.tuning ?? DEFAULT_CHOICE_TUNING;
  }

  /**
   * Takes a load report; one that is older than the last is ignored.
   *
   * @param report - What a target tells.
   * @param now - Milliseconds.
   */
  report(report: LoadReport, now: number): void {
    const view = this.views.get(report.targetId);
    if (view === undefined) {
      const fresh = {report, reportedAt: now, sentSince: []};
      this.views.set(report.targetId, fresh);
      return;
    }
    if (report.sequence < view.report.sequence) return;
    const trip = this.options.roundTripMs(report.dataCentre);
    view.report = report;
    view.reportedAt = now;
    // What was sent later than that had not arrived when the report was made.
    view.sentSince = view.sentSince.filter(({at}) => at > now - trip);
  }

  /**
   * @param target - A target that restarted: its reports count from the start.
   */
  forget(target: string): void {
    this.views.delete(target);
    this.blocked.delete(target);
    this.health.remove(target);
  }

  /**
   * @param target - A target.
   * @param takesNew - Whether it may get new work.
   */
  allow(target: string, takesNew: boolean): void {
    if (takesNew) this.blocked.delete(target);
    else this.blocked.add(target);
  }

  /**
   * @param req - What a target is wanted for.
   * @returns The target, or undefined when there is none.
   */
  choose(req: ChoiceRequest): string | undefined {
    const eligible = this.eligible(req);
    if (eligible.length === 0) return undefined;
    return CHOOSERS[req.class](this, req, eligible);
  }

  /**
   * @param target - Where a request was sent.
   * @param req - The request.
   * @param now - Milliseconds.
   */
  sent(target: string, req: ChoiceRequest, now: number): void {
    const {promptTokens} = req;
    const view = this.views.get(target);
    view?.sentSince.push({at: now, class: req.class, promptTokens});
  }

  /**
   * A target refused a request for want of room: until its next report it
   * counts as full, so that the next requests do not find out one by one.
   *
   * @param target - The target.
   */
  refused(target: string): void {
    const view = this.views.get(target);
    if (view === undefined) return;
    const {onlineCapacity, onlineRunning} = view.report;
    const full = Math.max(onlineRunning, onlineCapacity);
    view.report = {...view.report, onlineRunning: full, batchRoom: 0};
  }

  /**
   * @param pool - A model or service.
   * @returns Batch items that its targets would take now.
   */
  batchRoom(pool: string): number {
    const req = {pool, class: 'batch', promptTokens: 0, tried: new Set()};
    return this.eligible(req as unknown as ChoiceRequest)
      .map(view => this.roomOf(view))
      .reduce((sum, room) => sum + Math.max(0, room), 0);
  }

  /** Online work goes where it costs least of two, or where it is cached. */
  chooseOnline(req: ChoiceRequest, eligible: readonly TargetView[]): string {
    const cached = this.byAffinity(req, eligible);
    if (cached !== undefined) return cached.report.targetId;
    const own = eligible.filter(view => this.isNear(view));
    const far = eligible.filter(view => !this.isNear(view));
    const near = this.lessCostly(this.twoOf(own));
    const away = this.lessCostly(this.twoOf(far));
    return this.lessCostly([near, away])!.report.targetId;
  }

  /** Batch work goes where there is most room, of two. */
  chooseBatch(eligible: readonly TargetView[]): string | undefined {
    const withRoom = eligible.filter(view => this.roomOf(view) > 0);
    const [first, second] = this.twoOf(withRoom);
    if (first === undefined || second === undefined) {
      return first?.report.targetId;
    }
    const better = this.roomOf(second) > this.roomOf(first) ? second : first;
    return better.report.targetId;
  }

  private eligible(req: ChoiceRequest): readonly TargetView[] {
    const open = [...this.views.values()].filter(
      ({report}) =>
        !report.leaving &&
        !report.engineDown &&
        !this.blocked.has(report.targetId) &&
        !req.tried.has(report.targetId) &&
        serves(report, req.pool),
    );
    const {adapter} = req;
    if (adapter === undefined) return open;
    const loaded = open.filter(({report}) => serves(report, req.pool, adapter));
    return loaded.length > 0 ? loaded : open;
  }

  /**
   * The prompt's beginning goes where this entry sent it last, unless that is
   * much busier than the mean: without the bound one popular prefix would
   * overload one target. A new one goes to the less busy of the two targets
   * that its hash prefers; so entries that know nothing of each other keep it
   * on two targets at most.
   */
  private byAffinity(
    {prefix}: ChoiceRequest,
    eligible: readonly TargetView[],
  ): TargetView | undefined {
    if (prefix === undefined) return undefined;
    const loads = eligible.map(view => this.load(view));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const spare = (view: TargetView) =>
      this.load(view) <=
      this.tuning.affinityBound * mean +
        AFFINITY_SLACK / Math.max(1, view.report.onlineCapacity);
    const last = this.homes.get(prefix);
    const home = eligible.find(({report}) => report.targetId === last);
    if (home !== undefined && spare(home)) return home;
    const preferred = [...eligible]
      .sort((a, b) => this.preference(prefix, b) - this.preference(prefix, a))
      .slice(0, AFFINITY_CHOICES)
      .filter(spare);
    const chosen = this.lessCostly(preferred);
    if (chosen !== undefined) this.homes.set(prefix, chosen.report.targetId);
    return chosen;
  }

  /** Weighted rendezvous hashing; far and failing targets weigh less. */
  private preference(prefix: string, view: TargetView): number {
    const {targetId} = view.report;
    const weight = this.health.share(targetId);
    const unit = (hash32(`${prefix}\n${targetId}`) + 1) / (2 ** 32 + 1);
    return (this.isNear(view) ? 1 : 0) + weight ** 2 * unit ** (1 / weight);
  }

  private isNear({report}: TargetView): boolean {
    return report.dataCentre === this.options.dataCentre;
  }

  /** Two different ones at random, by their health. */
  private twoOf(views: readonly TargetView[]): readonly TargetView[] {
    const first = this.sample(views);
    if (first === undefined) return [];
    const second = this.sample(views.filter(view => view !== first));
    return second === undefined ? [first] : [first, second];
  }

  private sample(views: readonly TargetView[]): TargetView | undefined {
    const shares = views.map(({report}) => this.health.share(report.targetId));
    const sum = shares.reduce((total, share) => total + share, 0);
    let left = this.options.random.float() * sum;
    for (const [at, share] of shares.entries()) {
      left -= share;
      if (left < 0) return views[at];
    }
    return views.at(-1);
  }

  private lessCostly(
    views: readonly (TargetView | undefined)[],
  ): TargetView | undefined {
    let best: TargetView | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const view of views) {
      if (view === undefined) continue;
      const cost = this.costMs(view);
      if (cost >= least) continue;
      best = view;
      least = cost;
    }
    return best;
  }

  /** Milliseconds until a request sent now would have its first token. */
  private costMs(view: TargetView): number {
    const {report} = view;
    const {prefillTokenMs, overCapacityMs} = this.tuning;
    const online = this.onlineAt(view);
    const over = Math.max(0, online + 1 - report.onlineCapacity);
    const prefill = report.prefillTokens + sumPrompts(view.sentSince);
    return (
      this.options.roundTripMs(report.dataCentre) +
      report.stepMs * (1 + this.load(view)) +
      prefill * prefillTokenMs +
      over * overCapacityMs
    );
  }

  private load(view: TargetView): number {
    return this.onlineAt(view) / Math.max(1, view.report.onlineCapacity);
  }

  private onlineAt({report, sentSince}: TargetView): number {
    const own = sentSince.filter(sent => sent.class === 'online').length;
    return report.onlineRunning + report.onlineQueued + own;
  }

  private roomOf({report, sentSince}: TargetView): number {
    const own = sentSince.filter(sent => sent.class === 'batch').length;
    const share = this.health.share(report.targetId);
    return report.batchRoom * share - own;
  }
}

const CHOOSERS: Readonly<
  Record<
    ServeClass,
    (
      chooser: TargetChooser,
      req: ChoiceRequest,
      eligible: readonly TargetView[],
    ) => string | undefined
  >
> = {
  online: (chooser, req, eligible) => chooser.chooseOnline(req, eligible),
  batch: (chooser, req, eligible) => chooser.chooseBatch(eligible),
};

function serves(report: LoadReport, pool: string, adapter?: string): boolean {
  return report.versions.some(
    version =>
      version.pool === pool &&
      version.state === 'ready' &&
      (adapter === undefined || version.adapters.includes(adapter)),
  );
}

function sumPrompts(sent: readonly Sent[]): number {
  return sent.reduce((sum, {promptTokens}) => sum + promptTokens, 0);
}
