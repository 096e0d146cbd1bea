/** The only way into the engine or plain services beside this process. */
import {
  LinkLostError,
  mayHaveRun,
  notRun,
  sleep,
  workFingerprint,
} from '@oathead/core';
import type {
  Clock,
  Counters,
  FenceCheck,
  Heartbeat,
  HeartbeatReply,
  LoadReport,
  Order,
  OrderOutcome,
  Random,
  Refusal,
  ServeEvent,
  ServeRequest,
  TargetConfig,
} from '@oathead/core';
import type {Attachment, Hello, TargetHandler} from '@oathead/wire';
import {followRun} from '../request/follow_run.js';
import type {RunPosition} from '../request/follow_run.js';
import type {TargetRun} from '../request/target_run.js';
import {AdoptedConfig} from '../version/adopted_config.js';
import type {AdmissionFactory} from './admission_driver.js';
import {EngineWatch} from './engine_watch.js';
import type {EngineWatchSettings} from './engine_watch.js';
import {fenceGuard} from './fence_checks.js';
import {Gate} from './gate.js';
import type {Backends} from './gate.js';
import {LoadBoard} from './load_board.js';
import type {LoadBoardSettings, LoadState} from './load_board.js';
import {OrderDesk} from './order_desk.js';
import {RunDirector} from './run_director.js';
import {RunMemory} from './run_memory.js';
import type {RunMemorySettings} from './run_memory.js';

/** Settings of the service. */
export interface TargetServiceSettings {
  readonly targetId: string;
  readonly dataCentre: string;
  readonly fenceCheck: FenceCheck;
  /** How long a request outlives its connection, in milliseconds. */
  readonly attachGraceMs: number;
  /** Shortest time between two frames of one stream, in milliseconds. */
  readonly coalesceMs: number;
  /** Largest wait for the engine to take an order, in milliseconds. */
  readonly orderTimeoutMs: number;
  readonly memory: RunMemorySettings;
  readonly engine: EngineWatchSettings;
  readonly load: LoadBoardSettings;
}

/** What the service is made of. */
export interface TargetServiceParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly createAdmission: AdmissionFactory;
  readonly backends: Backends;
  readonly settings: TargetServiceSettings;
}

const IDLE_CHECK_MS = 10;

/** Serves the entries of one target. */
export class TargetService implements TargetHandler, Disposable {
  readonly bootId: string;
  private readonly config = new AdoptedConfig();
  private readonly memory: RunMemory;
  private readonly watch: EngineWatch | undefined;
  private readonly gate: Gate;
  private readonly director: RunDirector;
  private readonly board: LoadBoard;
  private readonly orders: OrderDesk;
  private followers = 0;
  private stopping = false;

  /** @param parts - What it is made of. */
  constructor(private readonly parts: TargetServiceParts) {
    const {clock, counters, backends, settings} = parts;
    this.bootId = parts.random.id();
    this.memory = new RunMemory(settings.memory, clock);
    this.watch = this.createWatch();
    this.gate = new Gate(backends, this.config, this.watch);
    this.board = new LoadBoard(() => this.loadState(), settings.load, clock);
    this.director = new RunDirector({
      clock,
      counters,
      createAdmission: parts.createAdmission,
      memory: this.memory,
      gate: this.gate,
      touch: () => this.onChange(),
      engineLost: () => this.watch?.suspect(),
    });
    const guard = fenceGuard(settings.fenceCheck);
    this.orders = new OrderDesk(
      backends.engine,
      guard,
      clock,
      settings.orderTimeoutMs,
    );
  }

  /** Begins to watch the engine. */
  start(): void {
    this.watch?.start();
  }

  /** Whether new work can be served. */
  get ready(): boolean {
    const engineUp = this.watch === undefined || !this.watch.down;
    return engineUp && this.config.revision > 0 && !this.director.leaving;
  }

  hello(): Hello {
    return {targetId: this.parts.settings.targetId, bootId: this.bootId};
  }

  async *serve(
    req: ServeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    const known = this.known(req);
    const refusal = known ? conflict(known, req) : this.refusal(req);
    if (refusal) {
      yield {kind: 'refused', refusal};
      return;
    }
    const run = known ?? this.director.arrive(req);
    const sameStart = req.resume?.text === run.req.resume?.text;
    yield* this.follow(
      run,
      {
        startedSeen: false,
        tokensSeen: req.resume?.tokens ?? 0,
        stream: req.stream && sameStart,
      },
      signal,
    );
  }

  async *attach(
    attachment: Attachment,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    const {id, attempt, startedSeen, tokensSeen} = attachment;
    const run = this.memory.byAttempt(id, attempt);
    if (!run) {
      yield {kind: 'refused', refusal: this.unknown(attachment)};
      return;
    }
    const {stream, resume} = run.req;
    const position = {
      startedSeen,
      tokensSeen: Math.max(tokensSeen, resume?.tokens ?? 0),
      stream,
    };
    this.parts.counters.count('attached');
    yield* this.follow(run, position, signal);
  }

  async heartbeat(req: Heartbeat): Promise<HeartbeatReply> {
    if (req.cfg) this.adopt(req.cfg);
    // A token read for another boot may be older than what this boot must know.
    if (req.orderFence?.bootId === this.bootId) {
      this.orders.guard.learn(req.orderFence.token);
    }
    return {bootId: this.bootId, load: this.board.report()};
  }

  order(order: Order): Promise<OrderOutcome> {
    return this.orders.give(order);
  }

  reports(signal: AbortSignal): AsyncIterable<LoadReport> {
    return this.board.reports(signal);
  }

  async release(dedupeKeys: readonly string[]): Promise<void> {
    this.memory.release(dedupeKeys);
  }

  /**
   * Stops without cutting off what is in flight: says so, takes nothing new,
   * gives batch work back and finishes the rest.
   *
   * @param graceMs - Longest wait for the rest, in milliseconds.
   * @returns Resolves when the followers of all requests have their outcomes,
   *     or when the grace period is over.
   */
  async drain(graceMs: number): Promise<void> {
    const until = this.parts.clock.now() + graceMs;
    this.stopping = true;
    this.director.leave();
    await this.idle(until);
    this.director.cutOff();
    await this.idle(this.parts.clock.now() + this.parts.settings.attachGraceMs);
  }

  [Symbol.dispose](): void {
    this.watch?.[Symbol.dispose]();
    this.director[Symbol.dispose]();
  }

  private createWatch(): EngineWatch | undefined {
    const {backends, settings, clock, counters} = this.parts;
    if (!backends.engine) return undefined;
    return new EngineWatch(backends.engine, settings.engine, clock, counters, {
      load: load => {
        this.director.admission.report({kind: 'load', load});
        this.board.touch();
      },
      changed: () => this.board.touch(),
    });
  }

  private known(req: ServeRequest): TargetRun | undefined {
    return (
      this.memory.byAttempt(req.id, req.attempt) ?? this.memory.sameOutcome(req)
    );
  }

  private refusal(req: ServeRequest): Refusal | undefined {
    const barred = this.memory.barred(req);
    if (barred) return barred;
    if (this.director.leaving) {
      return notRun('leaving', 'this target takes no new work');
    }
    return this.gate.refusal(req);
  }

  /** Nothing is known of a request that a link asks about. */
  private unknown(attachment: Attachment): Refusal {
    const {id, attempt, bootId, startedSeen, sentAgoMs} = attachment;
    if (bootId !== this.bootId) {
      return mayHaveRun('target-lost', 'the target process has restarted');
    }
    if (startedSeen) {
      return mayHaveRun('outcome-unknown', 'the outcome is forgotten');
    }
    return this.memory.voidUnseen(id, attempt, sentAgoMs);
  }

  private async *follow(
    run: TargetRun,
    from: RunPosition,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    const {clock, settings} = this.parts;
    const following = run.follow();
    this.followers++;
    try {
      yield* followRun(run, from, clock, settings.coalesceMs, signal);
    } finally {
      following[Symbol.dispose]();
      this.followers--;
      this.onLeft(run, signal);
    }
  }

  /**
   * Guards against work for nobody, and against an answer lost with its
   * connection: a caller that has gone ends the run, a broken connection only
   * after a grace in which its link can attach again. A request that may run
   * only once is not cancelled with its connection at all: its resend can still
   * have the answer, and cancelled its outcome would be unknown for good.
   */
  private onLeft(run: TargetRun, signal: AbortSignal): void {
    if (run.outcome || run.followers > 0) return;
    if (!(signal.reason instanceof LinkLostError)) {
      this.director.cancel(run);
      return;
    }
    if (!run.req.idempotent && !run.unseen) return;
    this.parts.clock.after(this.parts.settings.attachGraceMs, () => {
      if (run.followers === 0) this.director.cancel(run);
    });
  }

  private adopt(config: TargetConfig): void {
    if (!this.config.offer(config)) return;
    const {pools, callerWeights, leaving} = config;
    this.director.admission.report({kind: 'config', pools, callerWeights});
    if (leaving) this.director.leave();
    this.onChange();
  }

  /** Also takes work again when a target is declared back in. */
  private onChange(): void {
    const {leaving} = this.director;
    const wanted = this.stopping || (this.config.config.leaving ?? false);
    if (leaving && !wanted && this.director.admission.idle) {
      this.director.rejoin();
      const {pools, callerWeights} = this.config.config;
      this.director.admission.report({kind: 'config', pools, callerWeights});
    }
    this.board.touch();
  }

  private async idle(until: number): Promise<void> {
    const {clock} = this.parts;
    const busy = () => this.memory.runningCount > 0 || this.followers > 0;
    while (busy() && clock.now() < until) await sleep(clock, IDLE_CHECK_MS);
  }

  private loadState(): LoadState {
    const {targetId, dataCentre} = this.parts.settings;
    return {
      ...this.director.admission.admission.load(),
      targetId,
      dataCentre,
      leaving: this.director.leaving,
      cfgRevision: this.config.revision,
      versions: this.gate.versions(),
      engineDown: this.watch?.down ?? false,
    };
  }
}

function conflict(run: TargetRun, req: ServeRequest): Refusal | undefined {
  if (workFingerprint(run.req.work) === workFingerprint(req.work)) {
    return undefined;
  }
  return notRun('key-conflict', 'the key was used for another request');
}
