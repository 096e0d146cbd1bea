/**
 * The engine's model behind an admission, in virtual time: what the process
 * beside a target does, without a process.
 */
import type {
  Admission,
  AdmissionAction,
  AdmissionRequest,
  LoadReport,
  Refusal,
} from '@oathead/core';
import {EngineModel} from '@oathead/stand-ins';
import type {EngineModelOptions, ModelEvent} from '@oathead/stand-ins';

/** A request with what only the engine knows: how much it will generate. */
export interface BenchRequest {
  readonly admission: AdmissionRequest;
  readonly outputTokens: number;
  /** Names of the cached blocks of its prompt. */
  readonly blocks?: readonly string[];
  /** Fails after its first token. */
  readonly fails: boolean;
}

/** What a target tells. Times are in milliseconds. */
export interface TargetSink {
  token(request: BenchRequest, first: boolean, at: number): void;
  done(request: BenchRequest, at: number): void;
  failed(request: BenchRequest, at: number): void;
  refused(request: BenchRequest, refusal: Refusal, at: number): void;
  givenBack(request: BenchRequest, resumedTokens: number, at: number): void;
  /** Tokens of prompt and resume that were computed, or found in the cache. */
  prefilled(request: BenchRequest, computed: number, cached: number): void;
  /** A preempted stream left the engine; `steps` ended since the order. */
  yielded(steps: number, waitedMs: number): void;
}

interface Inside {
  request: BenchRequest;
  generated: number;
  firstSeen: boolean;
  /** The engine has only a piece of its prompt. */
  piece: boolean;
  preemptedAt?: {readonly at: number; readonly steps: number};
}

type Handlers = {
  readonly [K in ModelEvent['kind']]: (
    inside: Inside,
    event: Extract<ModelEvent, {readonly kind: K}>,
  ) => void;
};
type ActionHandlers = {
  readonly [K in AdmissionAction['kind']]: (
    inside: Inside,
    action: Extract<AdmissionAction, {readonly kind: K}>,
    now: number,
  ) => void;
};

const LOAD_PERIOD_MS = 100;

/** One target of the bench. */
export class EngineTarget {
  private readonly model: EngineModel;
  private readonly insides = new Map<string, Inside>();
  private sequence = 0;
  private steps = 0;
  private stepEnd = Number.POSITIVE_INFINITY;
  private nextLoadAt = 0;

  private readonly onEvent: Handlers = {
    admitted: (inside, {cachedTokens}) => {
      const {promptTokens} = inside.request.admission;
      const tokens = promptTokens + inside.generated;
      const computed = tokens - cachedTokens;
      if (inside.piece) return;
      this.sink.prefilled(inside.request, computed, cachedTokens);
    },
    token: (inside, {at}) => this.token(inside, at),
    evicted: () => {},
    done: (inside, {id, at}) => {
      if (inside.piece) {
        this.pieceDone(inside, at);
        return;
      }
      this.insides.delete(id);
      this.sink.done(inside.request, at);
      this.act(this.admission.handle({kind: 'ended', id, how: 'done'}, at), at);
    },
    cancelled: (inside, {at}) => this.cancelled(inside, at),
  };

  private readonly onAction: ActionHandlers = {
    start: (inside, {prefillOnly}, now) => this.start(inside, prefillOnly, now),
    preempt: (inside, {id}, now) => {
      inside.preemptedAt = {at: now, steps: this.steps};
      this.model.cancel(id, now);
    },
    refuse: (inside, {id, refusal}, now) => {
      this.insides.delete(id);
      this.sink.refused(inside.request, refusal, now);
    },
    ['give-back']: (inside, {id}, now) => {
      this.insides.delete(id);
      this.sink.givenBack(inside.request, inside.generated, now);
    },
  };

  /**
   * @param id - Name of the target.
   * @param pool - The model that it serves.
   * @param options - How its engine behaves.
   * @param admission - What decides.
   * @param sink - Is told what happens.
   */
  constructor(
    readonly id: string,
    private readonly pool: string,
    options: Partial<EngineModelOptions>,
    private readonly admission: Admission,
    private readonly sink: TargetSink,
  ) {
    this.model = new EngineModel(options);
  }

  /** @returns When to advance; infinite while the engine is idle. */
  nextAt(): number {
    return this.model.nextStepAt() ?? Number.POSITIVE_INFINITY;
  }

  /** @returns Online requests that it has or that wait for it. */
  onlineLoad(): number {
    const {onlineRunning, onlineQueued} = this.admission.load();
    return onlineRunning + onlineQueued;
  }

  /**
   * @param prefix - Name of a prompt's beginning.
   * @returns Whether its first block is in the engine's cache.
   */
  hasCached(prefix: string): boolean {
    return this.model.exportCache(`${prefix}/0`) !== undefined;
  }

  /** @param factor - Steps take this many times as long. */
  setSlowdown(factor: number): void {
    this.model.setSlowdown(factor);
  }

  /**
   * @param request - What came in.
   * @param resumedTokens - Tokens generated elsewhere.
   * @param now - Milliseconds.
   */
  arrive(request: BenchRequest, resumedTokens: number, now: number): void {
    const {id} = request.admission;
    const inside: Inside = {
      request,
      generated: resumedTokens,
      firstSeen: false,
      piece: false,
    };
    this.insides.set(id, inside);
    this.offer(inside, now);
  }

  /** @param now - When the engine's step ends, or has something to tell. */
  advance(now: number): void {
    const events = this.model.advance(now);
    // The engine is also read between steps; then the step ends when it did.
    const stepEnd = this.nextAt();
    if (stepEnd !== this.stepEnd) this.steps += 1;
    this.stepEnd = stepEnd;
    for (const event of events) this.handle(event);
  }

  /** @param now - Milliseconds. */
  tick(now: number): void {
    if (now >= this.nextLoadAt) {
      this.nextLoadAt = now + LOAD_PERIOD_MS;
      const load = {...this.model.load(now), versions: []};
      this.act(this.admission.handle({kind: 'load', load}, now), now);
    }
    this.act(this.admission.handle({kind: 'tick'}, now), now);
  }

  /** @returns What the target tells its entries. */
  report(): LoadReport {
    this.sequence += 1;
    return {
      targetId: this.id,
      dataCentre: 'hall-a',
      sequence: this.sequence,
      leaving: false,
      cfgRevision: 1,
      versions: [
        {pool: this.pool, version: 'v1', adapters: [], state: 'ready'},
      ],
      engineDown: false,
      ...this.admission.load(),
    };
  }

  private offer(inside: Inside, now: number): void {
    const request: AdmissionRequest = {
      ...inside.request.admission,
      resumedTokens: inside.generated,
    };
    this.act(this.admission.handle({kind: 'arrived', request}, now), now);
  }

  private start(
    inside: Inside,
    prefillOnly: number | undefined,
    now: number,
  ): void {
    const {admission, outputTokens, blocks} = inside.request;
    inside.piece = prefillOnly !== undefined;
    inside.firstSeen = false;
    inside.preemptedAt = undefined;
    const whole = {
      id: admission.id,
      promptTokens: admission.promptTokens,
      blocks,
      outputTokens,
      resumedTokens: inside.generated,
    };
    const piece = {
      id: admission.id,
      promptTokens: prefillOnly ?? 0,
      blocks,
      outputTokens: 1,
    };
    this.model.submit(inside.piece ? piece : whole, now);
  }

  private handle(event: ModelEvent): void {
    const inside = this.insides.get(event.id);
    if (inside === undefined) return;
    const handler = this.onEvent[event.kind] as (
      inside: Inside,
      event: ModelEvent,
    ) => void;
    handler(inside, event);
  }

  private pieceDone(inside: Inside, at: number): void {
    const {id} = inside.request.admission;
    inside.piece = false;
    const how = 'preempted';
    this.act(this.admission.handle({kind: 'ended', id, how}, at), at);
    this.offer(inside, at);
  }

  private token(inside: Inside, at: number): void {
    if (inside.piece) return;
    const {request} = inside;
    const {id} = request.admission;
    const first = !inside.firstSeen;
    inside.firstSeen = true;
    inside.generated += 1;
    this.sink.token(request, first, at);
    const actions = first
      ? this.admission.handle({kind: 'first-token', id}, at)
      : this.admission.handle({kind: 'tokens', id, count: 1}, at);
    if (actions.length > 0) this.act(actions, at);
    if (first && request.fails) this.model.cancel(id, at);
  }

  private cancelled(inside: Inside, at: number): void {
    const {id} = inside.request.admission;
    if (inside.preemptedAt === undefined) {
      this.insides.delete(id);
      this.sink.failed(inside.request, at);
      const how = 'failed';
      this.act(this.admission.handle({kind: 'ended', id, how}, at), at);
      return;
    }
    const {at: since, steps} = inside.preemptedAt;
    this.sink.yielded(this.steps - steps, at - since);
    const how = 'preempted';
    this.act(this.admission.handle({kind: 'ended', id, how}, at), at);
    this.offer(inside, at);
  }

  private act(actions: readonly AdmissionAction[], now: number): void {
    for (const action of actions) {
      const inside = this.insides.get(action.id);
      if (inside === undefined) continue;
      const handler = this.onAction[action.kind] as (
        inside: Inside,
        action: AdmissionAction,
        now: number,
      ) => void;
      handler(inside, action, now);
    }
  }
}
