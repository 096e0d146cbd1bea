/** Starts one item on a target with a free slot for it. */
import type {Route, Target} from '@oathead/gateway';
import type {ItemCandidate} from './item_candidate.js';
import type {ItemDurations} from './item_durations.js';
import {promptOf, runItem, type ItemRunContext} from './item_runner.js';
import type {ItemTargetSearch} from './item_target_search.js';
import type {ItemWork} from './item_work.js';
import {PartTrials} from './part_trials.js';
import type {WaitingReport} from './waiting_report.js';

/** Dependencies of an {@link ItemStarter}. */
export interface ItemStarterContext extends ItemRunContext {
  readonly durations: Pick<ItemDurations, 'add' | 'addRun'>;
  readonly search: Pick<ItemTargetSearch, 'search'>;
  readonly waitingReport: Pick<WaitingReport, 'countPlacement'>;
  readonly isPaused: () => boolean;
}

/**
 * Outcome of an attempt to start an item: `selective` if only targets that it
 * avoids may have a free slot, or if it has to wait for itself.
 */
export type StartOutcome = 'placed' | 'full' | 'selective';

/**
 * How long an item waits after it was not started because another one tries a
 * blocked part of its prompt, in milliseconds.
 */
const BLOCKED_ITEM_DELAY_MS = 250;
/** How long an item waits after its start has thrown, in milliseconds. */
const FAILED_START_DELAY_MS = 1000;

/** Starts the items of this host, one after another. */
export class ItemStarter {
  private readonly trials: PartTrials;

  /** @param context - Target search and what runs need. */
  constructor(private readonly context: ItemStarterContext) {
    this.trials = new PartTrials(() => context.clock.now());
  }

  /**
   * @param candidate - A waiting item.
   * @param route - Its route.
   * @returns Whether a target had a free slot for it.
   */
  async start(candidate: ItemCandidate, route: Route): Promise<StartOutcome> {
    const {job, work} = candidate;
    if (this.isBehindTrial(work, route)) return this.waitForTrial(work);
    const {stage} = work;
    const found = await this.context.search.search(route, candidate);
    const {urgency} = candidate.estimate;
    this.context.waitingReport.countPlacement(urgency, found.kind);
    // While the placement was pending, the item may have failed, or its job may
    // have been cancelled or handed over.
    const isStale = () =>
      work.stage !== stage || job.closed || this.context.isPaused();
    if (found.kind === 'full') {
      if (found.isSelective && !isStale())
        work.stage = {kind: 'waiting', notBefore: found.until};
      return found.isSelective ? 'selective' : 'full';
    }
    if (isStale()) return 'placed';
    const blocked = this.blockedParts(work, found.target);
    if (!this.trials.mayStart(blocked)) return this.waitForTrial(work);
    this.run(candidate, route, found.target, blocked);
    return 'placed';
  }

  private run(
    {job, work}: ItemCandidate,
    route: Route,
    target: Target,
    blocked: readonly string[],
  ): void {
    const {context} = this;
    const trial = this.trials.start(blocked);
    try {
      runItem(context, job, work, route, target, run => {
        trial.end(run.hasCrashed);
        context.durations.addRun(job.head, run);
        if (run.isComplete) context.durations.add(job.head, work);
      });
    } catch (err) {
      trial.end(false);
      const notBefore = context.clock.now() + FAILED_START_DELAY_MS;
      work.stage = {kind: 'waiting', notBefore};
      context.log.event('item-start-failed', {
        job: job.head.id,
        item: work.item.id,
        target: target.id,
        error: err instanceof Error ? err.stack : String(err),
      });
    }
  }

  /**
   * Guards against items that take free slots from others without using them:
   * what is placed counts as load until it is reported.
   */
  private isBehindTrial(work: ItemWork, {services}: Route): boolean {
    return services.every(
      service => !this.trials.mayStart(this.blockedParts(work, service)),
    );
  }

  private blockedParts(
    work: ItemWork,
    target: Pick<Target, 'service'>,
  ): readonly string[] {
    const prompt = promptOf(this.context, work, target);
    return this.context.promptSuspects.blockedParts(prompt);
  }

  private waitForTrial(work: ItemWork): StartOutcome {
    const notBefore = this.context.clock.now() + BLOCKED_ITEM_DELAY_MS;
    work.stage = {kind: 'waiting', notBefore, isBehindTrial: true};
    return 'selective';
  }
}
