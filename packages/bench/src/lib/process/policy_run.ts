/**
 * Runs one policy on one trace in virtual time: the admissions of the targets,
 * and one entry's choice of target and retries, all as in the daemons.
 */
import {RetryPolicy, TargetChooser, seededRandom} from '@oathead/core';
import type {ChoiceRequest, Random, Refusal} from '@oathead/core';
import {DEFAULT_ENGINE_OPTIONS} from '@oathead/stand-ins';
import TinyQueue from 'tinyqueue';
import {EngineTarget} from './engine_target.js';
import type {BenchRequest, TargetSink} from './engine_target.js';
import {Figures} from './figures.js';
import type {Policy} from './policies.js';
import type {OnlineArrival, Trace} from './traces.js';

const TICK_MS = 20;
const REPORT_PERIOD_MS = 100;
const HEALTH_PERIOD_MS = 500;
const MAX_TOKENS = 512;
const BATCH_MAX_TOKENS = 640;
const BATCH_DEADLINE_MS = 86_400_000;
const NO_TARGETS: ReadonlySet<string> = new Set();

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: (now: number) => void;
}

/** One online request on its way. */
interface Call {
  readonly arrival: OnlineArrival;
  readonly ask: ChoiceRequest;
  /** When its caller sent it, the last time. */
  readonly sentAt: number;
  readonly deadline: number;
  readonly resends: number;
  readonly tried: Set<string>;
  attempts: number;
  lastTokenAt: number;
  target: string;
  atTargetAt: number;
}

interface Item {
  readonly index: number;
  target: string;
}

/** How requests find a target; by default as entries do. */
export type Router = (
  ask: ChoiceRequest,
  targets: readonly EngineTarget[],
) => string | undefined;

/** One run. */
export class PolicyRun {
  /** What was measured. */
  readonly figures = new Figures();
  private readonly timers = new TinyQueue<Timer>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  private readonly targets: readonly EngineTarget[];
  private readonly byId: ReadonlyMap<string, EngineTarget>;
  private readonly chooser: TargetChooser;
  private readonly retries = new RetryPolicy();
  private readonly random: Random;
  private readonly calls = new Map<string, Call>();
  private readonly items = new Map<string, Item>();
  private readonly returned: {index: number; resumed: number}[] = [];
  private readonly jobLeft = new Map<number, number>();
  private readonly jobStart = new Map<number, number>();
  private order = 0;
  private nextItem = 0;
  private nextCall = 0;

  /**
   * @param trace - What is asked.
   * @param policy - What decides at the targets.
   * @param seed - For choices and failures.
   * @param router - Chooses targets in place of the entry.
   */
  constructor(
    private readonly trace: Trace,
    private readonly policy: Policy,
    seed: number,
    private readonly router?: Router,
  ) {
    this.random = seededRandom(seed);
    this.chooser = new TargetChooser({
      dataCentre: 'hall-a',
      roundTripMs: () => 2 * trace.targetTripMs,
      random: seededRandom(seed + 1),
    });
    this.targets = Array.from({length: trace.targets}, (unused, at) =>
      this.buildTarget(at),
    );
    this.byId = new Map(this.targets.map(target => [target.id, target]));
  }

  /** @returns What was measured. */
  run(): Figures {
    this.schedule();
    const {durationMs} = this.trace;
    for (;;) {
      const timer = this.timers.peek();
      const target = this.earliest();
      const targetAt = target.nextAt();
      const at = Math.min(timer?.at ?? durationMs, targetAt);
      if (at >= durationMs) return this.figures;
      if (targetAt <= at) target.advance(at);
      else this.timers.pop()!.run(at);
    }
  }

  private schedule(): void {
    const {arrivals, callerTripMs, faults, durationMs} = this.trace;
    for (const arrival of arrivals) {
      this.figures.requests += 1;
      this.at(arrival.at + callerTripMs, now =>
        this.callArrived(arrival, arrival.at, 0, now),
      );
    }
    for (const {target, from, until, slowdown} of faults) {
      if (slowdown === undefined) continue;
      this.at(from, () => this.targets[target]!.setSlowdown(slowdown));
      this.at(until, () => this.targets[target]!.setSlowdown(1));
    }
    for (const target of this.targets) {
      this.every(TICK_MS, now => target.tick(now));
      this.every(REPORT_PERIOD_MS, now => this.sendReport(target, now));
    }
    this.every(HEALTH_PERIOD_MS, now => this.chooser.health.tick(now));
    void durationMs;
  }

  private buildTarget(at: number): EngineTarget {
    const {pool, engine} = this.trace;
    const admission = this.policy.admission(pool);
    const id = `target-${at}`;
    return new EngineTarget(id, pool.pool, engine, admission, this.sink(id));
  }

  private earliest(): EngineTarget {
    let first = this.targets[0]!;
    for (const target of this.targets) {
      if (target.nextAt() < first.nextAt()) first = target;
    }
    return first;
  }

  private at(at: number, run: (now: number) => void): void {
    this.timers.push({at, order: this.order, run});
    this.order += 1;
  }

  private every(periodMs: number, run: (now: number) => void, from = 0): void {
    this.at(from, now => {
      run(now);
      this.every(periodMs, run, now + periodMs);
    });
  }

  private sendReport(target: EngineTarget, now: number): void {
    const report = target.report();
    const {targetTripMs, reportLagMs} = this.trace;
    this.at(now + targetTripMs + reportLagMs, later => {
      this.chooser.report(report, later);
      this.feedBatch(later);
    });
  }

  // Online calls.

  private callArrived(
    arrival: OnlineArrival,
    sentAt: number,
    resends: number,
    now: number,
  ): void {
    const tried = new Set<string>();
    const ask: ChoiceRequest = {
      pool: this.trace.pool.pool,
      class: 'online',
      promptTokens: arrival.promptTokens,
      prefix: arrival.prefix?.name,
      tried,
    };
    this.retries.recordRequest();
    this.sendCall(
      {
        arrival,
        ask,
        sentAt,
        deadline: sentAt + this.trace.deadlineMs,
        resends,
        tried,
        attempts: 0,
        lastTokenAt: 0,
        target: '',
        atTargetAt: 0,
      },
      now,
    );
  }

  private sendCall(call: Call, now: number): void {
    const target = this.router
      ? this.router(call.ask, this.targets)
      : this.chooser.choose(call.ask);
    if (target === undefined) {
      this.callRefused(call, undefined, now);
      return;
    }
    call.attempts += 1;
    call.target = target;
    call.tried.add(target);
    this.chooser.recordSent(target, call.ask, now);
    const id = `call-${this.nextCall}`;
    this.nextCall += 1;
    this.calls.set(id, call);
    this.at(now + this.trace.targetTripMs, at => {
      call.atTargetAt = at;
      this.byId.get(target)!.arrive(this.onlineRequest(id, call, at), 0, at);
    });
  }

  private onlineRequest(id: string, call: Call, now: number): BenchRequest {
    const {promptTokens, outputTokens, caller} = call.arrival;
    return {
      admission: {
        id,
        pool: this.trace.pool.pool,
        class: 'online',
        caller,
        promptTokens,
        maxTokens: Math.max(MAX_TOKENS, outputTokens),
        deadline: call.deadline,
        suspect: false,
        resumedTokens: 0,
      },
      outputTokens,
      blocks: this.blocks(call),
      fails: this.failsAt(call.target, now),
    };
  }

  private blocks({arrival}: Call): readonly string[] | undefined {
    if (arrival.prefix === undefined) return undefined;
    const {name, tokens} = arrival.prefix;
    const size = DEFAULT_ENGINE_OPTIONS.cacheBlockTokens;
    const count = Math.floor(tokens / size);
    return Array.from({length: count}, (unused, i) => `${name}/${i}`);
  }

  private failsAt(target: string, now: number): boolean {
    return this.trace.faults.some(
      fault =>
        `target-${fault.target}` === target &&
        fault.from <= now &&
        now < fault.until &&
        this.random.float() < (fault.failures ?? 0),
    );
  }

  private callRefused(
    call: Call,
    refusal: Refusal | undefined,
    now: number,
  ): void {
    const {trace, figures} = this;
    if (refusal !== undefined) {
      const decision = this.retries.decide(refusal, {
        idempotent: true,
        attempts: call.attempts,
        streamed: false,
        timeLeftMs: call.deadline - now,
      });
      const another = this.targets.length > call.tried.size;
      if (decision.retry && another) {
        figures.retried += 1;
        this.sendCall(call, now);
        return;
      }
    }
    figures.refused += 1;
    if (call.resends >= trace.resends) return;
    figures.resent += 1;
    const wait = (refusal?.retryAfterMs ?? 100) * (1 + this.random.float());
    const sentAt = now + trace.callerTripMs + wait;
    this.at(sentAt + trace.callerTripMs, at =>
      this.callArrived(call.arrival, sentAt, call.resends + 1, at),
    );
  }

  private callToken(call: Call, first: boolean, at: number): void {
    const {callerTripMs, targetTripMs} = this.trace;
    const seenAt = at + targetTripMs + callerTripMs;
    if (first) {
      this.figures.firstToken.record(seenAt - call.sentAt);
      // What the length of the prompt explains is not the target's doing.
      const own = (at - call.atTargetAt) / (100 + call.arrival.promptTokens);
      this.chooser.health.recordSuccess(call.target, own, at);
    } else {
      this.figures.betweenTokens.record(at - call.lastTokenAt);
    }
    call.lastTokenAt = at;
    this.figures.onlineTokens += 1;
  }

  private callDone(call: Call, at: number): void {
    const {promptTokens, outputTokens, caller} = call.arrival;
    this.figures.onlineDone += 1;
    this.figures.served(caller, promptTokens + outputTokens);
    const seenAt = at + this.trace.targetTripMs + this.trace.callerTripMs;
    if (seenAt > call.deadline) this.figures.late += 1;
    else this.figures.goodTokens += outputTokens;
  }

  // Batch items.

  private feedBatch(now: number): void {
    if (!this.policy.batch) return;
    const ask: ChoiceRequest = {
      pool: this.trace.pool.pool,
      class: 'batch',
      promptTokens: 0,
      tried: NO_TARGETS,
    };
    for (;;) {
      const target = this.chooser.choose(ask);
      if (target === undefined) return;
      this.chooser.recordSent(target, ask, now);
      const back = this.returned.shift();
      this.sendItem(back?.index ?? this.takeItem(now), back?.resumed ?? 0, {
        target,
        now,
      });
    }
  }

  private takeItem(now: number): number {
    const index = this.nextItem;
    this.nextItem += 1;
    const {items} = this.trace.job;
    const job = Math.floor(index / items);
    if (!this.jobStart.has(job)) {
      this.jobStart.set(job, now);
      this.jobLeft.set(job, items);
    }
    return index;
  }

  private sendItem(
    index: number,
    resumed: number,
    {target, now}: {readonly target: string; readonly now: number},
  ): void {
    const size = this.trace.batch[index % this.trace.batch.length]!;
    const id = `item-${index}`;
    this.items.set(id, {index, target});
    const request: BenchRequest = {
      admission: {
        id,
        pool: this.trace.pool.pool,
        class: 'batch',
        caller: `job-${Math.floor(index / this.trace.job.items) % 5}`,
        promptTokens: size.promptTokens,
        maxTokens: BATCH_MAX_TOKENS,
        deadline: now + BATCH_DEADLINE_MS,
        suspect: false,
        resumedTokens: resumed,
      },
      outputTokens: size.outputTokens,
      fails: false,
    };
    this.at(now + this.trace.targetTripMs, at =>
      this.byId.get(target)!.arrive(request, resumed, at),
    );
  }

  private itemDone({index}: Item, at: number): void {
    this.figures.batchItems += 1;
    const {items, deadlineMs} = this.trace.job;
    const job = Math.floor(index / items);
    const left = this.jobLeft.get(job)! - 1;
    this.jobLeft.set(job, left);
    if (left > 0) return;
    this.figures.jobs += 1;
    if (at - this.jobStart.get(job)! > deadlineMs) this.figures.lateJobs += 1;
  }

  private sink(target: string): TargetSink {
    const {figures, trace} = this;
    const back = trace.targetTripMs;
    return {
      token: ({admission}, first, at) => {
        const call = this.calls.get(admission.id);
        if (call === undefined) figures.batchTokens += 1;
        else this.callToken(call, first, at);
      },
      done: ({admission: {id}}, at) => {
        const call = this.calls.get(id);
        if (call === undefined) this.itemDone(this.items.get(id)!, at);
        else this.callDone(call, at);
        this.calls.delete(id);
        this.items.delete(id);
      },
      failed: ({admission: {id}}, at) => {
        const call = this.calls.get(id)!;
        this.calls.delete(id);
        figures.failed += 1;
        this.chooser.health.recordFailure(target, at);
        void call;
      },
      refused: ({admission: {id}}, refusal, at) => {
        const call = this.calls.get(id)!;
        this.calls.delete(id);
        this.at(at + back, now => {
          this.chooser.recordRefusal(target);
          this.callRefused(call, refusal, now);
        });
      },
      givenBack: ({admission: {id}}, resumed) => {
        const {index} = this.items.get(id)!;
        this.items.delete(id);
        this.returned.push({index, resumed});
      },
      prefilled: (request, computed, cached) => {
        const {class: kind, promptTokens, id} = request.admission;
        if (kind === 'online') {
          figures.onlinePrefilled += computed;
          const prefix = this.calls.get(id)?.arrival.prefix;
          if (prefix === undefined) return;
          figures.prefixTokens += prefix.tokens;
          figures.prefixHitTokens += Math.min(prefix.tokens, cached);
          return;
        }
        // The prompt of a fresh item is no waste; what is computed beyond it,
        // or again, is.
        const again = computed + cached > promptTokens;
        if (again) figures.wastedTokens += computed;
      },
      yielded: (steps, waitedMs) => {
        figures.preempted += 1;
        figures.maxYieldSteps = Math.max(figures.maxYieldSteps, steps);
        figures.maxYieldMs = Math.max(figures.maxYieldMs, waitedMs);
      },
    };
  }
}
