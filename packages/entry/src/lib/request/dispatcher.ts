/**
 * Sends one request to targets until it is answered, its deadline has come, or
 * sending it again would not be safe.
 */
import {
  LinkLostError,
  estimatePromptTokens,
  inputText,
  isFinalEvent,
  mayHaveRun,
  notRun,
  poolOf,
  workFingerprint,
} from '@oathead/core';
import type {
  Clock,
  Counters,
  PartialAnswer,
  RunStatus,
  Refusal,
  RetryPolicy,
  ServeEvent,
  ServeOutcome,
  ServeRequest,
} from '@oathead/core';
import {endHop, startHop, traceparentOf} from '@oathead/observe';
import type {Span, Tracer} from '@opentelemetry/api';
import type {Attempt, Fleet, TargetQuery} from '../connection/fleet.js';
import type {SuspectRegistry} from '../process/suspect_registry.js';
import {refusalOf} from './outcome_of.js';
import type {ServeCall} from './online_call.js';

/** What dispatching needs. */
export interface DispatcherDeps {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly tracer: Tracer;
  readonly entryId: string;
  readonly fleet: Fleet;
  readonly retries: RetryPolicy;
  readonly suspects: SuspectRegistry;
}

/** How one attempt ended. */
export type AttemptEnd =
  | {readonly kind: 'outcome'; readonly outcome: ServeOutcome}
  /** The link was lost; the request may have run. */
  | {readonly kind: 'lost'; readonly message: string}
  /** The caller has gone. */
  | {readonly kind: 'abandoned'};

/** Time for a target to say itself that the deadline has come, in ms. */
const DEADLINE_GRACE_MS = 250;

/**
 * @param deadline - Deadline of a request, in milliseconds.
 * @returns When its dispatch ends at the latest, on the same clock.
 */
export function latestEndOf(deadline: number): number {
  return deadline + DEADLINE_GRACE_MS;
}

/** Sends requests to targets. */
export class Dispatcher {
  /** @param deps - The fleet, and what decides on retries. */
  constructor(private readonly deps: DispatcherDeps) {}

  /**
   * @param call - The request.
   * @param signal - Aborted when nobody waits for the answer any more.
   * @returns Its events; the last one is final unless `signal` was aborted.
   */
  serve(call: ServeCall, signal: AbortSignal): AsyncGenerator<ServeEvent> {
    return new Dispatch(this.deps, call, signal).run();
  }
}

/** One request on its way through one or more attempts. */
class Dispatch {
  private readonly tried = new Set<string>();
  private readonly span: Span;
  private readonly promptTokens: number;
  private partial: PartialAnswer;
  private ran: RunStatus = 'not-run';
  private started = false;
  private attempts = 0;
  private alone: boolean;

  constructor(
    private readonly deps: DispatcherDeps,
    private readonly call: ServeCall,
    private readonly signal: AbortSignal,
  ) {
    this.partial = call.resume ?? {text: '', tokens: 0};
    this.alone = call.suspect ?? false;
    this.promptTokens = estimatePromptTokens(call.work);
    this.span = startHop(deps.tracer, 'entry', call.traceparent, {
      'oathead.request': call.id,
      'oathead.pool': poolOf(call.work),
      'oathead.class': call.class,
    });
  }

  async *run(): AsyncGenerator<ServeEvent> {
    let outcome: ServeOutcome | undefined;
    try {
      outcome = yield* this.attemptAll();
      if (outcome) yield outcome;
    } finally {
      this.deps.counters.count('dispatches', {
        class: this.call.class,
        end: endOf(outcome),
      });
      endHop(this.span, errorOf(outcome));
    }
  }

  private async *attemptAll(): AsyncGenerator<
    ServeEvent,
    ServeOutcome | undefined
  > {
    const blocked = this.checkSuspect();
    if (blocked) return blocked;
    this.deps.retries.recordRequest();
    let last: Refusal | undefined;
    for (;;) {
      if (this.remainingMs() <= 0) return this.expired();
      const attempt = this.deps.fleet.begin(this.query());
      if (!attempt) return refused(this.noTarget(last));
      this.attempts++;
      const end = yield* this.attempt(attempt);
      if (end.kind === 'abandoned') return undefined;
      this.settle(end);
      const refusal = refusalOfEnd(end);
      if (!refusal || !this.mayRetry(refusal)) return this.finalOutcome(end);
      last = refusal;
      if (!neverArrived(refusal)) this.tried.add(attempt.targetId);
    }
  }

  /** Batch work is sent again by the keeper of its job, not here. */
  private mayRetry(refusal: Refusal): boolean {
    if (this.call.class === 'batch') return false;
    const decision = this.deps.retries.decide(refusal, {
      idempotent: this.call.idempotent,
      attempts: this.attempts,
      // Another target goes on behind the tokens that were passed on.
      streamed: false,
      timeLeftMs: this.remainingMs(),
    });
    return decision.retry;
  }

  private async *attempt(
    attempt: Attempt,
  ): AsyncGenerator<ServeEvent, AttemptEnd> {
    const stop = new AbortController();
    const onAbort = () => stop.abort();
    this.signal.addEventListener('abort', onAbort, {once: true});
    const limit = this.remainingMs() + DEADLINE_GRACE_MS;
    const timer = this.deps.clock.after(limit, onAbort);
    let outcome: ServeOutcome | undefined;
    try {
      const events = attempt.link.serve(this.request(), stop.signal);
      for await (const event of events) {
        if (isFinalEvent(event)) {
          outcome = event;
          return {kind: 'outcome', outcome};
        }
        yield* this.progress(event, attempt);
      }
    } catch (err) {
      if (!(err instanceof LinkLostError)) throw err;
      this.ran = 'may-have-run';
      return {kind: 'lost', message: err.message};
    } finally {
      timer[Symbol.dispose]();
      this.signal.removeEventListener('abort', onAbort);
      stop.abort();
      attempt.ended(outcome);
    }
    if (this.signal.aborted) return {kind: 'abandoned'};
    this.ran = 'may-have-run';
    if (stop.signal.aborted && this.remainingMs() <= 0) {
      return {kind: 'outcome', outcome: this.expired()};
    }
    return {kind: 'lost', message: 'the stream ended without an outcome'};
  }

  /**
   * Passes on what a target tells. Tokens must come in order and without a gap:
   * a caller would not see that a part of its answer is missing.
   */
  private *progress(
    event: Exclude<ServeEvent, ServeOutcome>,
    attempt: Attempt,
  ): Generator<ServeEvent> {
    this.ran = 'may-have-run';
    if (event.kind === 'started') {
      if (!this.started) yield event;
      this.started = true;
      return;
    }
    if (event.index !== this.partial.tokens) {
      this.deps.counters.count('token_gaps');
      throw new LinkLostError('tokens are missing from the stream');
    }
    if (event.index === 0) attempt.firstToken();
    this.partial = {
      text: this.partial.text + event.text,
      tokens: this.partial.tokens + event.count,
    };
    yield event;
  }

  private checkSuspect(): ServeOutcome | undefined {
    const {suspects} = this.deps;
    if (suspects.empty) return undefined;
    const verdict = suspects.verdict(workFingerprint(this.call.work));
    if (verdict === 'suspect') this.alone = true;
    if (verdict !== 'blocked') return undefined;
    return refused(notRun('suspect', 'targets have died of this request'));
  }

  /** Learns from the end of an attempt what it says about the work. */
  private settle(end: AttemptEnd): void {
    const {suspects} = this.deps;
    if (diedUnder(end)) {
      suspects.died(workFingerprint(this.call.work), this.alone);
      this.alone = true;
      return;
    }
    if (end.kind !== 'outcome') return;
    const {outcome} = end;
    if (outcome.kind === 'yielded') this.partial = outcome.partial;
    if (outcome.kind === 'done' && this.alone && !suspects.empty) {
      suspects.completed(workFingerprint(this.call.work));
    }
    if (outcome.kind === 'refused' && outcome.refusal.ran === 'may-have-run') {
      this.ran = 'may-have-run';
    }
  }

  private finalOutcome(end: AttemptEnd): ServeOutcome {
    if (end.kind === 'outcome') return this.honest(end.outcome);
    const message = end.kind === 'lost' ? end.message : 'given up';
    return refused(mayHaveRun('target-lost', message));
  }

  /**
   * The last target can say truly that it has not run the request while an
   * earlier one, which was lost, may have.
   */
  private honest(outcome: ServeOutcome): ServeOutcome {
    if (outcome.kind !== 'refused' || this.ran === 'not-run') return outcome;
    return refused({...outcome.refusal, ran: 'may-have-run'});
  }

  private noTarget(last: Refusal | undefined): Refusal {
    const refusal =
      last ?? notRun('no-target', 'no target can take the request', 1000);
    return {...refusal, ran: this.ran};
  }

  private expired(): ServeOutcome {
    const message = 'the deadline has passed';
    return refused({kind: 'deadline-exceeded', message, ran: this.ran});
  }

  private remainingMs(): number {
    return this.call.deadline - this.deps.clock.now();
  }

  private query(): TargetQuery {
    const {work, dedupeKey} = this.call;
    const {tried, promptTokens} = this;
    const common = {pool: poolOf(work), class: this.call.class};
    const keyed = dedupeKey === undefined ? {} : {dedupeKey};
    if (work.kind === 'call') return {...common, ...keyed, promptTokens, tried};
    const adapter = work.adapter === undefined ? {} : {adapter: work.adapter};
    const prefix = inputText(work.input);
    return {...common, ...keyed, ...adapter, prefix, promptTokens, tried};
  }

  private request(): ServeRequest {
    const {call} = this;
    const traceparent = traceparentOf(this.span) ?? call.traceparent;
    return {
      id: call.id,
      attempt: this.attempts,
      entryId: this.deps.entryId,
      caller: call.caller,
      class: call.class,
      work: call.work,
      idempotent: call.idempotent,
      timeoutMs: Math.max(1, Math.round(this.remainingMs())),
      promptTokens: this.promptTokens,
      stream: call.stream,
      ...(call.dedupeKey === undefined ? {} : {dedupeKey: call.dedupeKey}),
      ...(this.alone ? {suspect: true} : {}),
      ...(this.partial.tokens > 0 ? {resume: this.partial} : {}),
      ...(traceparent === undefined ? {} : {traceparent}),
    };
  }
}

/**
 * A target died with the request in flight: its engine broke, or its process
 * started anew. A lost connection alone is no evidence against a request.
 */
function diedUnder(end: AttemptEnd): boolean {
  if (end.kind !== 'outcome' || end.outcome.kind !== 'refused') return false;
  const {kind, ran} = end.outcome.refusal;
  return ran === 'may-have-run' && DEATHS.has(kind);
}

/**
 * A request that got lost with a silent connection says nothing against its
 * target: where the others were tried, it is sent there again over a new one.
 */
function neverArrived({kind, ran}: Refusal): boolean {
  return kind === 'target-lost' && ran === 'not-run';
}

const DEATHS: ReadonlySet<Refusal['kind']> = new Set([
  'engine-failed',
  'target-lost',
]);

/**
 * @param end - How an attempt ended.
 * @returns The refusal that it ended with, if any.
 */
export function refusalOfEnd(end: AttemptEnd): Refusal | undefined {
  if (end.kind === 'lost') return mayHaveRun('target-lost', end.message);
  if (end.kind === 'abandoned') return undefined;
  if (end.outcome.kind === 'done') return undefined;
  return refusalOf(end.outcome);
}

function refused(refusal: Refusal): ServeOutcome {
  return {kind: 'refused', refusal};
}

function endOf(outcome: ServeOutcome | undefined): string {
  if (!outcome) return 'abandoned';
  return outcome.kind === 'refused' ? outcome.refusal.kind : outcome.kind;
}

function errorOf(outcome: ServeOutcome | undefined): string | undefined {
  return outcome?.kind === 'done' ? undefined : endOf(outcome);
}
