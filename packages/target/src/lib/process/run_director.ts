/** Takes runs from their arrival to their outcome, as admission decides. */
import {admitDuringStop, invariant, mayHaveRun, notRun} from '@oathead/core';
import type {
  PlannedStop,
  Refusal,
  ServeOutcome,
  ServeRequest,
} from '@oathead/core';
import {createDebugLog} from '@oathead/observe';
import type {Backend} from '../request/backend_call.js';
import {takeTurn} from '../request/backend_turn.js';
import {LiveRun} from '../request/live_run.js';
import type {LiveRunParts} from '../request/live_run.js';
import type {TargetRun} from '../request/target_run.js';
import {AdmissionDriver} from './admission_driver.js';
import type {AdmissionFactory, AdmissionOrders} from './admission_driver.js';
import type {Gate} from './gate.js';
import type {RunMemory} from './run_memory.js';

/** What the director needs. */
export interface RunDirectorParts extends LiveRunParts {
  readonly createAdmission: AdmissionFactory;
  readonly memory: RunMemory;
  readonly gate: Gate;
  /** Something that a load report shows has changed. */
  readonly touch: () => void;
  /** The engine's connection broke under a request. */
  readonly engineLost: () => void;
}

const log = createDebugLog('target:stop');

/** Longest delay that a timer of the platform takes. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Carries out admission's decisions on runs. */
export class RunDirector implements AdmissionOrders, Disposable {
  private readonly live = new Map<string, LiveRun>();
  private driver: AdmissionDriver;
  private isLeaving = false;

  /** @param parts - What it needs. */
  constructor(private readonly parts: RunDirectorParts) {
    this.driver = this.createDriver();
  }

  /** Whether new work is refused. */
  get leaving(): boolean {
    return this.isLeaving;
  }

  /** The admission policy in force. */
  get admission(): AdmissionDriver {
    return this.driver;
  }

  /**
   * @param req - A request that passed the gate.
   * @returns Its run.
   */
  arrive(req: ServeRequest): TargetRun {
    const live = new LiveRun(req, this.parts);
    const {run} = live;
    this.live.set(run.key, live);
    this.parts.memory.add(run);
    const timeoutMs = Math.min(req.timeoutMs, MAX_DELAY_MS);
    const expire = () => this.expire(run);
    live.owned.add(this.parts.clock.after(timeoutMs, expire));
    this.driver.begin(run.key);
    this.driver.report(live.arrival());
    this.parts.touch();
    return run;
  }

  start(id: string, prefillOnly?: number): void {
    const live = this.live.get(id);
    if (!live || !isWaiting(live.run)) return;
    const {run} = live;
    const route = this.parts.gate.route(run.req.work);
    if (!route) {
      this.refuse(id, notRun('no-target', 'nothing is ready for it any more'));
      this.driver.report({kind: 'ended', id, how: 'failed'});
      return;
    }
    this.parts.memory.markStarted(run);
    run.start(route.version);
    void this.execute(live, route.backend, prefillOnly);
  }

  preempt(id: string): void {
    const run = this.live.get(id)?.run;
    if (!run?.abort) return;
    if (!run.preemptible) {
      this.parts.metrics.count('preempt_declined');
      return;
    }
    run.step({type: 'preempt'});
    run.abort.abort();
  }

  refuse(id: string, refusal: Refusal): void {
    const run = this.live.get(id)?.run;
    if (!run) return;
    if (run.unseen) this.settle(run, {kind: 'refused', refusal});
    else if (run.req.class === 'batch') this.giveBack(id);
    else this.settle(run, refused({...refusal, ran: 'may-have-run'}));
  }

  giveBack(id: string): void {
    const run = this.live.get(id)?.run;
    if (run) this.settle(run, {kind: 'yielded', partial: run.partial()});
  }

  /**
   * Cancels a run: nobody wants it any more.
   *
   * @param run - The run.
   */
  cancel(run: TargetRun): void {
    this.stop(run, 'cancelled', 'the caller has gone');
  }

  /** No new work from now on; batch work goes back. */
  leave(): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.driver.report({kind: 'leaving'});
    for (const {run} of [...this.live.values()]) {
      if (run.req.class === 'batch') this.yieldNow(run);
    }
    this.parts.touch();
  }

  /** Takes new work again, with a fresh policy; only when nothing is left. */
  rejoin(): void {
    invariant(this.driver.idle, 'can only rejoin without work');
    this.isLeaving = false;
    this.driver[Symbol.dispose]();
    this.driver = this.createDriver();
  }

  /**
   * Refuses what waits, may run only once and may outlast the stop: started and
   * cut off, nobody could say whether it ran. What may be repeated stays: cut
   * off, its entry goes on with it elsewhere.
   *
   * @param stop - The stop of the process.
   */
  refuseUnsafe(stop: PlannedStop): void {
    const now = this.parts.clock.now();
    for (const {run, deadline, labels} of [...this.live.values()]) {
      if (run.req.idempotent || !run.unseen) continue;
      if (admitDuringStop(stop, deadline, now).kind === 'take') continue;
      this.parts.metrics.count('target_refused_by_stop', labels);
      log('refused, as it may outlast the stop: %s', run.key);
      this.stop(run, 'leaving', 'this target stops before it would end');
    }
  }

  /** Ends what is left when the grace period of a stop is over. */
  cutOff(): void {
    for (const {run, labels} of [...this.live.values()]) {
      this.parts.metrics.count('target_cut_by_stop', labels);
      log('cut off at the end of the stop: %s', run.key);
      this.stop(run, 'leaving', 'the grace period is over');
    }
  }

  [Symbol.dispose](): void {
    this.driver[Symbol.dispose]();
  }

  private createDriver(): AdmissionDriver {
    const {createAdmission, clock} = this.parts;
    return new AdmissionDriver(createAdmission(), clock, this);
  }

  private async execute(
    live: LiveRun,
    backend: Backend,
    prefillOnly: number | undefined,
  ): Promise<void> {
    const {driver} = this;
    const report = driver.report.bind(driver);
    const parts = {...this.parts, report, prefillOnly};
    const outcome = await takeTurn(live, backend, parts);
    this.onFree(live, outcome);
  }

  /** The engine is free of the run. */
  private onFree(live: LiveRun, outcome: ServeOutcome | undefined): void {
    const {run} = live;
    const id = run.key;
    if (outcome) {
      this.settle(run, outcome);
      const how = outcome.kind === 'done' ? 'done' : 'failed';
      this.driver.report({kind: 'ended', id, how});
    } else if (run.outcome) {
      this.driver.report({kind: 'ended', id, how: 'cancelled'});
    } else if (this.isLeaving) {
      this.giveBack(id);
      this.driver.report({kind: 'ended', id, how: 'cancelled'});
    } else {
      run.step({type: 'freed'});
      this.driver.report({kind: 'ended', id, how: 'preempted'});
      // It waits again, as one that resumes behind its tokens.
      this.driver.report(live.arrival());
    }
    if (run.outcome) this.driver.end(id);
    this.parts.touch();
  }

  /** A run past its deadline is of no use, unless it may run only once. */
  private expire(run: TargetRun): void {
    if (!run.req.idempotent && !run.unseen) return;
    this.stop(run, 'deadline-exceeded', 'the deadline has passed');
  }

  private yieldNow(run: TargetRun): void {
    if (isWaiting(run)) {
      this.giveBack(run.key);
      this.driver.report({kind: 'abandoned', id: run.key});
    } else if (run.preemptible) {
      this.giveBack(run.key);
    }
  }

  private stop(
    run: TargetRun,
    kind: 'cancelled' | 'deadline-exceeded' | 'leaving',
    message: string,
  ): void {
    if (run.outcome) return;
    const waiting = isWaiting(run);
    const refuse = run.unseen ? notRun : mayHaveRun;
    this.settle(run, refused(refuse(kind, message)));
    if (waiting) this.driver.report({kind: 'abandoned', id: run.key});
  }

  private settle(run: TargetRun, outcome: ServeOutcome): void {
    const live = this.live.get(run.key);
    if (!live) return;
    this.live.delete(run.key);
    live.end(outcome);
    this.parts.memory.settle(run);
    // The engine may still have it; `ended` follows when it is free.
    if (run.abort) run.abort.abort();
    else this.driver.end(run.key);
    this.parts.touch();
  }
}

function isWaiting(run: TargetRun): boolean {
  return run.state === 'waiting' || run.state === 'preempted';
}

function refused(refusal: Refusal): ServeOutcome {
  return {kind: 'refused', refusal};
}
