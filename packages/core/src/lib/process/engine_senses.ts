/**
 * What admission knows of an engine, all of it from the tokens that it streams:
 * what it has, how long its steps take and why, and what batch work does to
 * online callers.
 */
import type {AdmissionRequest} from './admission.js';
import type {AloneNeed} from './alone_queue.js';
import {HarmMeter} from './harm_meter.js';
import type {EndKind} from './lane.js';
import {OnlineGate} from './online_gate.js';
import {PromptCache} from './prompt_cache.js';
import {RunningSet} from './running_set.js';
import type {Running} from './running_set.js';
import {StepClock} from './step_clock.js';
import {StepModel} from './step_model.js';

/** In an overload prefilling never stops; then it is looked at in parts. */
const LONG_PERIOD_TOKENS = 20_000;
/** A step this little longer than one that only decodes prefilled nothing. */
const STALL_TOLERANCE = 1.03;
const CLOCK_ERROR_MS = 1;

/** Follows one engine. Times are in milliseconds. */
export class EngineSenses {
  /** The engine's step time. */
  readonly model = new StepModel();
  /** When its step began. */
  readonly steps = new StepClock();
  /** What it has. */
  readonly running = new RunningSet();
  /** What online callers see. */
  readonly meter = new HarmMeter();
  /** What it holds. */
  readonly gate = new OnlineGate(this.model, this.running);
  /** What it has cached. */
  readonly cache = new PromptCache();
  /** Tokens prefilled in the last step beyond what was thought to be left. */
  unexpectedTokens = 0;
  /** Sequences in the step in progress. */
  private inStep = 0;
  /** A time in which prompts were being prefilled without a break. */
  private period = {tokens: 0, onlineOnly: true};

  /**
   * @param request - An online request that came in.
   * @param now - Milliseconds.
   */
  arrived({id, promptTokens}: AdmissionRequest, now: number): void {
    const {model, meter} = this;
    const alone = meter.aloneStreams();
    const need: AloneNeed = {
      prefillMs: model.prefillMs(promptTokens),
      largestPrefillMs: model.largestPrefill,
      decodeMs: model.fixed + model.perStream * (alone + 1),
      decoding: alone > 0,
    };
    meter.arrived(id, need, now);
  }

  /**
   * @param request - What is handed to the engine.
   * @param arrivedAt - When it came in.
   * @param now - Milliseconds.
   * @param prefillTokens - Tokens that have to be prefilled, as estimated.
   */
  started(
    request: AdmissionRequest,
    arrivedAt: number,
    now: number,
    prefillTokens: number,
  ): void {
    if (this.running.size === 0) {
      this.steps.begin(now);
      this.inStep = 1;
    }
    this.running.start(request, arrivedAt, now, prefillTokens);
    this.period.onlineOnly &&= request.class === 'online';
  }

  /**
   * @param id - A request that got its first token.
   * @param now - Milliseconds.
   * @param limitMs - The longest step wanted.
   * @returns Whether a step ended with it.
   */
  firstToken(id: string, now: number, limitMs: number): boolean {
    const running = this.running.get(id);
    if (running === undefined) return false;
    const closed = this.closeStep(id, now, limitMs);
    this.running.firstToken(id);
    this.prefillDone(running.prefillTokens);
    if (running.request.class === 'online') {
      this.meter.firstToken(id, now - running.arrivedAt);
    }
    this.running.tokens(id, 1);
    return closed;
  }

  /**
   * @param id - A request that got tokens.
   * @param count - How many.
   * @param now - Milliseconds.
   * @param limitMs - The longest step wanted.
   * @returns Whether a step ended with it.
   */
  tokens(id: string, count: number, now: number, limitMs: number): boolean {
    const closed = this.closeStep(id, now, limitMs);
    this.running.tokens(id, count);
    return closed;
  }

  /**
   * @param id - A request that the engine is free of.
   * @param how - How it ended.
   * @param pieceDone - Whether it was a piece of a prompt, and is done.
   * @param now - Milliseconds.
   * @returns It, if the engine had it.
   */
  ended(
    id: string,
    how: EndKind,
    pieceDone: boolean,
    now: number,
  ): Running | undefined {
    const running = this.running.end(id);
    if (running === undefined) return undefined;
    this.inStep -= 1;
    // Stopped while prefilling: what was computed counts, though it is lost.
    if (running.prefilling) {
      const left = pieceDone ? 0 : running.prefillLeft;
      this.prefillDone(running.prefillTokens - left);
    }
    if (running.request.class === 'online') {
      this.meter.gone(id);
      if (how === 'done') this.gate.finished(now - running.startedAt);
    }
    if (this.running.size === 0) this.steps.idle();
    return running;
  }

  private closeStep(id: string, now: number, limitMs: number): boolean {
    const durationMs = this.steps.token(id, now);
    if (durationMs === undefined) return false;
    const {online, batch} = this.running;
    const decoding = online.decoding + batch.decoding;
    // What was started while the step ran is not in it.
    const before = now - durationMs - CLOCK_ERROR_MS;
    const prefills = decoding === 0 || this.running.waitsSince(before);
    const prefillTokens = prefills
      ? Math.max(1, online.prefillTokens + batch.prefillTokens)
      : 0;
    const streams = Math.max(decoding, this.inStep);
    const stalled = prefills && this.stalled(durationMs, decoding);
    this.gate.watchCeiling(stalled, decoding, now);
    if (!stalled) this.model.learn(durationMs, {streams, prefillTokens});
    this.measure(durationMs, streams, limitMs);
    this.inStep = this.running.size;
    return true;
  }

  /** Splits a step into what online work needs and what batch work adds. */
  private measure(durationMs: number, streams: number, limitMs: number): void {
    const {model, meter} = this;
    const {online} = this.running;
    const prefilling = online.running - online.decoding;
    const tokens = model.prefilledIn(durationMs, streams);
    const {online: done, unexpected} = this.running.prefilled(tokens);
    this.unexpectedTokens = unexpected;
    const doneMs = model.prefillMs(done);
    const alone = meter.aloneStreams() + (done > 0 ? prefilling : 0);
    const decodeMs = model.fixed + model.perStream * alone;
    meter.step({
      durationMs,
      aloneMs: decodeMs + doneMs,
      onlineTokens: online.decoding,
      limitMs,
    });
  }

  /** Whether a step prefilled nothing, though requests waited for it. */
  private stalled(durationMs: number, streams: number): boolean {
    if (streams === 0) return false;
    const decodeMs = this.model.predict({streams, prefillTokens: 0});
    return durationMs <= decodeMs * STALL_TOLERANCE;
  }

  private prefillDone(tokens: number): void {
    this.period.tokens += tokens;
    const ended = !this.running.prefillsAny;
    if (!ended && this.period.tokens < LONG_PERIOD_TOKENS) return;
    this.model.endPrefill(this.period.tokens, this.period.onlineOnly);
    this.period = {tokens: 0, onlineOnly: !this.running.prefillsBatch};
  }
}
