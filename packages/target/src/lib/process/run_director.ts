/** Takes runs from their arrival to their outcome, as admission decides. */
import {
  DisposableStore,
  EngineError,
  InvariantError,
  invariant,
  mayHaveRun,
  notRun,
  poolOf,
} from '@oathead/core';
import type {
  AdmissionRequest,
  Clock,
  Counters,
  Refusal,
  ServeOutcome,
  ServeRequest,
} from '@oathead/core';
import {callBackend, refusalOf} from '../request/backend_call.js';
import {
  endSpan,
  startEngineSpan,
  startRequestSpan,
} from '../request/target_spans.js';
import type {TargetSpan} from '../request/target_spans.js';
import {TargetRun} from '../request/target_run.js';
import type {AdmissionOrders} from './admission_driver.js';
import {AdmissionDriver} from './admission_driver.js';
import type {AdmissionFactory} from './admission_driver.js';
import type {Gate} from './gate.js';
import type {RunMemory} from './run_memory.js';

/** What the director needs. */
export interface RunDirectorParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly createAdmission: AdmissionFactory;
  readonly memory: RunMemory;
  readonly gate: Gate;
  /** Something that a load report shows has changed. */
  readonly touch: () => void;
  /** The engine's connection broke under a request. */
  readonly engineLost: () => void;
}

interface LiveRun {
  readonly run: TargetRun;
  readonly span: TargetSpan;
  readonly owned: DisposableStore;
}

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
    const {clock, memory} = this.parts;
    const run = new TargetRun(req);
    const owned = new DisposableStore();
    this.live.set(run.key, {run, owned, span: startRequestSpan(req)});
    memory.add(run);
    const timeoutMs = Math.min(req.timeoutMs, MAX_DELAY_MS);
    owned.add(clock.after(timeoutMs, () => this.expire(run)));
    this.driver.begin(run.key);
    const request = admissionRequest(run, clock.now() + req.timeoutMs);
    this.driver.report({kind: 'arrived', request});
    this.parts.touch();
    return run;
  }

  start(id: string): void {
    const live = this.live.get(id);
    if (!live || !isWaiting(live.run)) return;
    const {run} = live;
    const route = this.parts.gate.route(run.req.work);
    if (!route) {
      this.refuse(id, notRun('no-target', 'the version has gone'));
      this.driver.report({kind: 'ended', id, how: 'failed'});
      return;
    }
    this.parts.memory.markStarted(run);
    run.start(route.version);
    void this.execute(live, route.backend);
  }

  preempt(id: string): void {
    const run = this.live.get(id)?.run;
    if (!run?.abort) return;
    if (!run.preemptible) {
      this.parts.counters.count('preempt_declined');
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
    if (!run) return;
    this.settle(run, {kind: 'yielded', partial: run.partial()});
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
    this.parts.touch();
  }

  /** Ends what is left when the grace period of a stop is over. */
  cutOff(): void {
    for (const {run} of [...this.live.values()]) {
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
    backend: Parameters<typeof callBackend>[1],
  ): Promise<void> {
    const {run} = live;
    const abort = new AbortController();
    run.abort = abort;
    await run.handedOver();
    const span = startEngineSpan(live.span, run.req);
    let outcome: ServeOutcome | undefined;
    try {
      abort.signal.throwIfAborted();
      outcome = await callBackend(
        run,
        backend,
        {token: () => this.onToken(run)},
        abort.signal,
        span.traceparent,
      );
    } catch (err) {
      outcome = this.onInterrupted(run, err, abort.signal);
    } finally {
      run.abort = undefined;
    }
    endSpan(span, outcome);
    this.onFree(run, outcome);
  }

  private onToken(run: TargetRun): void {
    const id = run.key;
    if (run.state === 'started') {
      run.step({type: 'first-token'});
      this.driver.report({kind: 'first-token', id});
    } else {
      this.driver.report({kind: 'tokens', id, count: 1});
    }
  }

  /** The backend gave no answer: because it was told to stop, or by itself. */
  private onInterrupted(
    run: TargetRun,
    err: unknown,
    signal: AbortSignal,
  ): ServeOutcome | undefined {
    if (signal.aborted) return undefined;
    if (err instanceof InvariantError) throw err;
    if (!(err instanceof EngineError)) {
      this.parts.counters.count('engine_call_error');
      return refused(mayHaveRun('internal', String(err)));
    }
    this.parts.counters.count('engine_error', {kind: err.kind});
    if (err.kind === 'lost') this.parts.engineLost();
    return refused(refusalOf(err));
  }

  /** The engine is free of the run. */
  private onFree(run: TargetRun, outcome: ServeOutcome | undefined): void {
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
    if (!live || run.outcome) return;
    const withEngine = run.abort;
    run.end(outcome);
    this.live.delete(run.key);
    this.parts.memory.settle(run);
    live.owned[Symbol.dispose]();
    endSpan(live.span, outcome);
    this.count(run, outcome);
    if (withEngine) withEngine.abort();
    else this.driver.end(run.key);
    this.parts.touch();
  }

  private count(run: TargetRun, outcome: ServeOutcome): void {
    const labels = {class: run.req.class, pool: poolOf(run.req.work)};
    const kind =
      outcome.kind === 'refused' ? outcome.refusal.kind : outcome.kind;
    this.parts.counters.count('target_requests', {...labels, outcome: kind});
  }
}

function isWaiting(run: TargetRun): boolean {
  return run.state === 'waiting' || run.state === 'preempted';
}

function refused(refusal: Refusal): ServeOutcome {
  return {kind: 'refused', refusal};
}

function admissionRequest(run: TargetRun, deadline: number): AdmissionRequest {
  const {req} = run;
  return {
    id: run.key,
    pool: poolOf(req.work),
    class: req.class,
    caller: req.caller,
    promptTokens: req.promptTokens,
    maxTokens: req.work.kind === 'completion' ? req.work.maxTokens : 0,
    deadline,
    suspect: req.suspect ?? false,
    resumedTokens: req.resume?.tokens ?? 0,
    preemptible: run.preemptible,
  };
}
