/**
 * Load balancing: selects the target of a request. Load reports lag, so they
 * are corrected by the requests that this entry has sent since. The less loaded
 * of two random targets is used (power of two choices), which keeps many
 * entries with stale reports from all selecting the same target.
 */
import {LRUCache} from 'lru-cache';
import {TargetHealth} from './target_health.js';
import {hash32} from '../process/hash.js';
import type {LoadReport} from '../process/load_report.js';
import type {Random} from '../process/random.js';
import type {ServeClass} from '../request/serve.js';

/** Requirements of a request that a target is selected for. */
export interface ChoiceRequest {
  readonly pool: string;
  readonly class: ServeClass;
  readonly promptTokens: number;
  /**
   * Adapter that the request uses; targets that have it loaded are preferred,
   * since they answer sooner.
   */
  readonly adapter?: string;
  /** Identifies the beginning of the prompt, which targets cache. */
  readonly prefix?: string;
  /** Targets that were tried already and are excluded. */
  readonly tried: ReadonlySet<string>;
}

/** Parameters of the load balancing; benchmarks sweep them. */
export interface ChoiceTuning {
  /**
   * Largest load of a target that is still selected by prefix affinity, as a
   * multiple of the mean load.
   */
  readonly affinityBound: number;
  /** Estimated cost of one queued prompt token, in milliseconds. */
  readonly prefillTokenMs: number;
  /** Cost of each request beyond the capacity, in milliseconds. */
  readonly overCapacityMs: number;
}

/** Default parameters of the load balancing. */
export const DEFAULT_CHOICE_TUNING: ChoiceTuning = {
  affinityBound: 2,
  prefillTokenMs: 0.1,
  overCapacityMs: 100,
};

/** Number of candidate targets for a prefix without a known target. */
const AFFINITY_CANDIDATES = 2;
/**
 * Requests beyond the affinity bound that a target may have before it counts as
 * busy.
 */
const AFFINITY_SLACK = 4;
/** Maximum number of prefixes whose last target is remembered. */
const MAX_KNOWN_PREFIXES = 10_000;

interface SentRequest {
  readonly at: number;
  readonly class: ServeClass;
  readonly promptTokens: number;
}

interface TargetView {
  report: LoadReport;
  reportedAt: number;
  sentSince: SentRequest[];
}

/** Environment of an entry. */
export interface ChoiceOptions {
  readonly dataCentre: string;
  /** @returns The round-trip time to a data centre, in milliseconds. */
  readonly roundTripMs: (dataCentre: string) => number;
  readonly random: Random;
  readonly tuning?: ChoiceTuning;
}

/** Selects targets for one entry. */
export class TargetChooser {
  /** Traffic shares of the targets, by latency and failures. */
  readonly health = new TargetHealth();
  private readonly views = new Map<string, TargetView>();
  private readonly blocked = new Set<string>();
  private readonly lastTargetByPrefix = new LRUCache<string, string>({
    max: MAX_KNOWN_PREFIXES,
  });
  private readonly tuning: ChoiceTuning;

  /** @param options - Environment of the entry. */
  constructor(private readonly options: ChoiceOptions) {
    this.tuning = options.tuning ?? DEFAULT_CHOICE_TUNING;
  }

  /**
   * Applies a load report. A report older than the last one is ignored.
   *
   * @param report - Load report of a target.
   * @param now - Current time, in milliseconds.
   */
  report(report: LoadReport, now: number): void {
    const view = this.views.get(report.targetId);
    if (view === undefined) {
      const fresh = {report, reportedAt: now, sentSince: []};
      this.views.set(report.targetId, fresh);
      return;
    }
    if (report.sequence < view.report.sequence) return;
    const roundTripMs = this.options.roundTripMs(report.dataCentre);
    view.report = report;
    view.reportedAt = now;
    // Requests sent less than a round trip ago had not reached the target when
    // it made the report.
    view.sentSince = view.sentSince.filter(({at}) => at > now - roundTripMs);
  }

  /**
   * Discards all data about a target, for example after a restart, when its
   * report sequence starts again.
   *
   * @param target - ID of the target.
   */
  forget(target: string): void {
    this.views.delete(target);
    this.blocked.delete(target);
    this.health.remove(target);
  }

  /**
   * @param target - ID of the target.
   * @param acceptsNew - Whether new requests may be sent to it.
   */
  setAcceptsNew(target: string, acceptsNew: boolean): void {
    if (acceptsNew) this.blocked.delete(target);
    else this.blocked.add(target);
  }

  /**
   * @param req - Requirements of the request.
   * @returns The ID of the selected target, or undefined if there is none.
   */
  choose(req: ChoiceRequest): string | undefined {
    const eligible = this.eligible(req);
    if (eligible.length === 0) return undefined;
    return CHOOSERS[req.class](this, req, eligible);
  }

  /**
   * Counts a request that was sent, until a load report includes it.
   *
   * @param target - ID of the target that the request was sent to.
   * @param req - Requirements of the request.
   * @param now - Current time, in milliseconds.
   */
  recordSent(target: string, req: ChoiceRequest, now: number): void {
    const {promptTokens} = req;
    const view = this.views.get(target);
    view?.sentSince.push({at: now, class: req.class, promptTokens});
  }

  /**
   * Handles a refusal for lack of capacity: the target counts as full until its
   * next report, so that the following requests are not refused by it one after
   * another.
   *
   * @param target - ID of the target that refused.
   */
  recordRefusal(target: string): void {
    const view = this.views.get(target);
    if (view === undefined) return;
    const {onlineCapacity, onlineRunning} = view.report;
    const full = Math.max(onlineRunning, onlineCapacity);
    view.report = {...view.report, onlineRunning: full, batchRoom: 0};
  }

  /**
   * @param pool - Name of a model or service.
   * @returns The number of batch items that its targets can accept now.
   */
  batchRoom(pool: string): number {
    const req = {pool, class: 'batch', promptTokens: 0, tried: new Set()};
    return this.eligible(req as unknown as ChoiceRequest)
      .map(view => this.freeBatchCapacity(view))
      .reduce((sum, capacity) => sum + Math.max(0, capacity), 0);
  }

  /**
   * Selects a target by prefix affinity, or else the cheapest of two random
   * targets in this data centre and two in others.
   */
  chooseOnline(req: ChoiceRequest, eligible: readonly TargetView[]): string {
    const cached = this.chooseByAffinity(req, eligible);
    if (cached !== undefined) return cached.report.targetId;
    const localTargets = eligible.filter(view => this.isLocal(view));
    const remoteTargets = eligible.filter(view => !this.isLocal(view));
    const bestLocal = this.cheapest(this.sampleTwo(localTargets));
    const bestRemote = this.cheapest(this.sampleTwo(remoteTargets));
    return this.cheapest([bestLocal, bestRemote])!.report.targetId;
  }

  /**
   * Selects the one of two random targets that has more free batch capacity.
   */
  chooseBatch(eligible: readonly TargetView[]): string | undefined {
    const withCapacity = eligible.filter(
      view => this.freeBatchCapacity(view) > 0,
    );
    const [first, second] = this.sampleTwo(withCapacity);
    if (first === undefined || second === undefined) {
      return first?.report.targetId;
    }
    const better =
      this.freeBatchCapacity(second) > this.freeBatchCapacity(first)
        ? second
        : first;
    return better.report.targetId;
  }

  private eligible(req: ChoiceRequest): readonly TargetView[] {
    const available = [...this.views.values()].filter(
      ({report}) =>
        !report.leaving &&
        !report.engineDown &&
        !this.blocked.has(report.targetId) &&
        !req.tried.has(report.targetId) &&
        serves(report, req.pool),
    );
    const {adapter} = req;
    if (adapter === undefined) return available;
    const loaded = available.filter(({report}) =>
      serves(report, req.pool, adapter),
    );
    return loaded.length > 0 ? loaded : available;
  }

  /**
   * Selects the target that this entry last used for the prefix, unless it is
   * much busier than the mean: without the bound, one popular prefix would
   * overload one target. For an unknown prefix, selects the less busy of the
   * two targets that rank highest for its hash, so entries that do not
   * coordinate place a prefix on two targets at most.
   */
  private chooseByAffinity(
    {prefix}: ChoiceRequest,
    eligible: readonly TargetView[],
  ): TargetView | undefined {
    if (prefix === undefined) return undefined;
    const loads = eligible.map(view => this.load(view));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const hasCapacity = (view: TargetView) =>
      this.load(view) <=
      this.tuning.affinityBound * mean +
        AFFINITY_SLACK / Math.max(1, view.report.onlineCapacity);
    const lastId = this.lastTargetByPrefix.get(prefix);
    const lastTarget = eligible.find(({report}) => report.targetId === lastId);
    if (lastTarget !== undefined && hasCapacity(lastTarget)) return lastTarget;
    const preferred = [...eligible]
      .sort((a, b) => this.preference(prefix, b) - this.preference(prefix, a))
      .slice(0, AFFINITY_CANDIDATES)
      .filter(hasCapacity);
    const chosen = this.cheapest(preferred);
    if (chosen !== undefined)
      this.lastTargetByPrefix.set(prefix, chosen.report.targetId);
    return chosen;
  }

  /**
   * Weighted rendezvous hashing; targets that are remote or failing get a lower
   * score.
   */
  private preference(prefix: string, view: TargetView): number {
    const {targetId} = view.report;
    const weight = this.health.share(targetId);
    const unit = (hash32(`${prefix}\n${targetId}`) + 1) / (2 ** 32 + 1);
    return (this.isLocal(view) ? 1 : 0) + weight ** 2 * unit ** (1 / weight);
  }

  private isLocal({report}: TargetView): boolean {
    return report.dataCentre === this.options.dataCentre;
  }

  /** Draws two different targets at random, weighted by traffic share. */
  private sampleTwo(views: readonly TargetView[]): readonly TargetView[] {
    const first = this.sample(views);
    if (first === undefined) return [];
    const second = this.sample(views.filter(view => view !== first));
    return second === undefined ? [first] : [first, second];
  }

  private sample(views: readonly TargetView[]): TargetView | undefined {
    const shares = views.map(({report}) => this.health.share(report.targetId));
    const sum = shares.reduce((total, share) => total + share, 0);
    let remaining = this.options.random.float() * sum;
    for (const [at, share] of shares.entries()) {
      remaining -= share;
      if (remaining < 0) return views[at];
    }
    return views.at(-1);
  }

  private cheapest(
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

  /**
   * Estimates the time to first token of a request sent now, in milliseconds.
   */
  private costMs(view: TargetView): number {
    const {report} = view;
    const {prefillTokenMs, overCapacityMs} = this.tuning;
    const onlineRequests = this.onlineCount(view);
    const excess = Math.max(0, onlineRequests + 1 - report.onlineCapacity);
    const prefill = report.prefillTokens + sumPromptTokens(view.sentSince);
    return (
      this.options.roundTripMs(report.dataCentre) +
      report.stepMs * (1 + this.load(view)) +
      prefill * prefillTokenMs +
      excess * overCapacityMs
    );
  }

  private load(view: TargetView): number {
    return this.onlineCount(view) / Math.max(1, view.report.onlineCapacity);
  }

  private onlineCount({report, sentSince}: TargetView): number {
    const pending = sentSince.filter(sent => sent.class === 'online').length;
    return report.onlineRunning + report.onlineQueued + pending;
  }

  private freeBatchCapacity({report, sentSince}: TargetView): number {
    const pending = sentSince.filter(sent => sent.class === 'batch').length;
    const share = this.health.share(report.targetId);
    return report.batchRoom * share - pending;
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

function sumPromptTokens(sent: readonly SentRequest[]): number {
  return sent.reduce((sum, {promptTokens}) => sum + promptTokens, 0);
}
