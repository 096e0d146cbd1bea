/** Preempts running items of this host where online requests need their slots. */
import {
  targetKey,
  type LoadTable,
  type TargetChooser,
  type TargetDirectory,
} from '@oathead/gateway';
import {byPriority, type ItemCandidate} from './item_candidate.js';

/** Dependencies of {@link ItemPreemption}. */
export interface PreemptionContext {
  readonly chooser: Pick<TargetChooser, 'itemsToPreempt'>;
  readonly directory: Pick<TargetDirectory, 'get'>;
  readonly loads: Pick<LoadTable, 'markNearlyDone'>;
  /** Member ID of this host's incarnation, as in its load reports. */
  readonly self: string;
}

/** The items that may be preempted. */
export interface PreemptibleItems {
  /** @returns The running items of this host. */
  readonly running: () => readonly ItemCandidate[];
  /** @returns Whether an item is preempted after all others at its target. */
  readonly isLast: (candidate: ItemCandidate) => boolean;
}

/** Ends runs of items, the least urgent ones of a target first. */
export class ItemPreemption {
  /**
   * @param context - Targets and their loads.
   * @param items - The items of this host.
   */
  constructor(
    private readonly context: PreemptionContext,
    private readonly items: PreemptibleItems,
  ) {}

  /** Preempts items at all targets that have more than their slots bear. */
  preemptExcess(): void {
    const {chooser, directory, loads, self} = this.context;
    for (const [targetId, candidates] of this.runningByTarget()) {
      const target = directory.get(targetId);
      if (!target) continue;
      const nearlyDone = candidates.filter(
        candidate => candidate.estimate.nearlyDone,
      );
      loads.markNearlyDone(targetKey(targetId), nearlyDone.length);
      const excess = chooser.itemsToPreempt(target, self);
      if (excess > 0) this.preemptLeastUrgent(candidates, excess);
    }
  }

  /**
   * @param targetId - ID of a target.
   * @param count - Number of items to preempt there.
   */
  preempt(targetId: string, count: number): void {
    const running = this.runningByTarget().get(targetId);
    if (running) this.preemptLeastUrgent(running, count);
  }

  private runningByTarget(): ReadonlyMap<string, readonly ItemCandidate[]> {
    const running = new Map<string, ItemCandidate[]>();
    for (const candidate of this.items.running()) {
      const {stage} = candidate.work;
      if (stage.kind !== 'running') continue;
      const atTarget = running.get(stage.targetId) ?? [];
      running.set(stage.targetId, atTarget);
      atTarget.push(candidate);
    }
    return running;
  }

  private preemptLeastUrgent(
    candidates: readonly ItemCandidate[],
    count: number,
  ): void {
    const {isLast} = this.items;
    const leastUrgentFirst = [...candidates].sort(
      (a, b) => Number(isLast(a)) - Number(isLast(b)) || byPriority(b, a),
    );
    for (const {work} of leastUrgentFirst.slice(0, count))
      if (work.stage.kind === 'running') work.stage.control.end('yield');
  }
}
