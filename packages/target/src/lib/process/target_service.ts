/** The only way into the engine or plain services beside this process. */
import {notRun, sleep, workFingerprint} from '@oathead/core';
import type {
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
import type {
  Attachment,
  HeldAnswer,
  Hello,
  RecalledOutcome,
  TargetHandler,
} from '@oathead/wire';
import type {LiveRunParts} from '../request/live_run.js';
import {RunFollowers} from '../request/run_followers.js';
import type {FollowerSettings} from '../request/run_followers.js';
import type {TargetRun} from '../request/target_run.js';
import {AdoptedConfig} from '../version/adopted_config.js';
import type {AdmissionFactory} from './admission_driver.js';
import {EngineDesk} from './engine_desk.js';
import type {EngineSettings} from './engine_desk.js';
import {Gate} from './gate.js';
import type {Backends} from './gate.js';
import {LoadBoard} from './load_board.js';
import type {LoadBoardSettings, LoadState} from './load_board.js';
import {RunDirector} from './run_director.js';
import {RunMemory} from './run_memory.js';
import type {RunMemorySettings} from './run_memory.js';

/** Settings of the service. */
export interface TargetServiceSettings extends FollowerSettings {
  readonly targetId: string;
  readonly dataCentre: string;
  readonly memory: RunMemorySettings;
  /** Absent beside plain services alone. */
  readonly engine?: EngineSettings;
  readonly load: LoadBoardSettings;
}

/** What the service is made of. */
export interface TargetServiceParts extends LiveRunParts {
  readonly random: Random;
  readonly createAdmission: AdmissionFactory;
  readonly backends: Backends;
  readonly settings: TargetServiceSettings;
}

const IDLE_CHECK_MS = 10;
/** Part of a grace period, at its end, in which nothing runs any more. */
const END_SHARE = 0.1;
const MAX_CACHED_PREFIXES = 64;

/** Serves the entries of one target. */
export class TargetService implements TargetHandler, Disposable {
  /** Changes with each start of the process. */
  readonly bootId: string;
  private readonly config = new AdoptedConfig();
  private readonly memory: RunMemory;
  private readonly engine: EngineDesk | undefined;
  private readonly gate: Gate;
  private readonly director: RunDirector;
  private readonly followers: RunFollowers;
  private readonly board: LoadBoard;
  private stopping = false;

  /** @param parts - What it is made of. */
  constructor(private readonly parts: TargetServiceParts) {
    const {clock, backends, settings} = parts;
    this.bootId = parts.random.id();
    this.memory = new RunMemory(settings.memory, clock);
    this.engine = this.createEngineDesk();
    this.gate = new Gate(backends, this.config, this.engine?.watch);
    this.board = new LoadBoard(() => this.load(), settings.load, clock);
    this.director = new RunDirector({
      ...parts,
      memory: this.memory,
      gate: this.gate,
      touch: () => this.onChange(),
      engineLost: () => this.engine?.watch.suspect(),
    });
    const cancel = this.director.cancel.bind(this.director);
    this.followers = new RunFollowers(settings, clock, cancel);
  }

  /** Begins to watch the engine. */
  start(): void {
    this.engine?.watch.start();
  }

  /** Whether new work can be served. */
  get ready(): boolean {
    const configured = this.config.revision > 0;
    return configured && !this.engine?.watch.down && !this.director.leaving;
  }

  /** @returns The load as of now. */
  load(): LoadState {
    const {targetId, dataCentre} = this.parts.settings;
    return {
      ...this.director.admission.load(),
      targetId,
      dataCentre,
      leaving: this.director.leaving,
      cfgRevision: this.config.revision,
      versions: this.gate.versions(),
      engineDown: this.engine?.watch.down ?? false,
    };
  }

  /** {@inheritDoc TargetHandler.hello} */
  hello(): Hello {
    return {targetId: this.parts.settings.targetId, bootId: this.bootId};
  }

  /** {@inheritDoc TargetLink.serve} */
  async *serve(
    req: ServeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    if (signal.aborted) return;
    const known = this.known(req);
    const refusal = known ? conflict(known, req) : this.refusal(req);
    if (refusal) {
      yield {kind: 'refused', refusal};
      return;
    }
    const run = known ?? this.director.arrive(req);
    // Tokens behind another beginning would not fit to it.
    const sameStart = req.resume?.text === run.req.resume?.text;
    const position = {
      startedSeen: false,
      tokensSeen: req.resume?.tokens ?? 0,
      stream: req.stream && sameStart,
    };
    yield* this.followers.follow(run, position, signal);
  }

  /** {@inheritDoc TargetHandler.attach} */
  async *attach(
    attachment: Attachment,
    signal: AbortSignal,
  ): AsyncGenerator<ServeEvent, void, undefined> {
    const {id, attempt, startedSeen, tokensSeen} = attachment;
    const run = this.memory.byAttempt(id, attempt);
    if (!run) {
      const refusal = this.memory.unknown(attachment, this.bootId);
      yield {kind: 'refused', refusal};
      return;
    }
    this.parts.metrics.count('attached');
    const {stream, resume} = run.req;
    const position = {
      startedSeen,
      tokensSeen: Math.max(tokensSeen, resume?.tokens ?? 0),
      stream,
    };
    yield* this.followers.follow(run, position, signal);
  }

  /** {@inheritDoc TargetLink.heartbeat} */
  async heartbeat(req: Heartbeat): Promise<HeartbeatReply> {
    if (req.cfg) this.adopt(req.cfg);
    // A token read for another boot may be older than what this boot must know.
    if (req.orderFence?.bootId === this.bootId) {
      this.engine?.learnFence(req.orderFence.token);
    }
    return {bootId: this.bootId, load: this.board.report()};
  }

  /** {@inheritDoc TargetLink.order} */
  async order(order: Order): Promise<OrderOutcome> {
    if (this.engine) return this.engine.order(order);
    const refusal = notRun('no-target', 'plain services take no orders');
    return {kind: 'refused', refusal};
  }

  /** {@inheritDoc ReportingLink.reports} */
  reports(signal: AbortSignal): AsyncIterable<LoadReport> {
    return this.board.reports(signal);
  }

  /** {@inheritDoc ReportingLink.release} */
  async release(dedupeKeys: readonly string[]): Promise<void> {
    this.memory.release(dedupeKeys);
  }

  /** {@inheritDoc ReportingLink.held} */
  async *held(entryId: string): AsyncGenerator<HeldAnswer, void, undefined> {
    yield* this.memory.held.of(entryId);
  }

  /** {@inheritDoc ReportingLink.recall} */
  async recall(
    dedupeKey: string,
    signal: AbortSignal,
  ): Promise<RecalledOutcome | undefined> {
    const run = this.memory.byKey(dedupeKey);
    if (!run) return undefined;
    const outcome = await this.followers.outcomeOf(run, signal);
    return outcome && {work: workFingerprint(run.req.work), outcome};
  }

  /** {@inheritDoc ReportingLink.cachedPrefixes} */
  async cachedPrefixes(): Promise<readonly string[]> {
    const prefixes = this.engine?.watch.cache.prefixes() ?? [];
    return prefixes.slice(0, MAX_CACHED_PREFIXES);
  }

  /**
   * Stops without cutting off what is in flight: says so, takes nothing new,
   * gives batch work back and finishes the rest.
   *
   * @param graceMs - Longest wait, in milliseconds. What is left shortly before
   *     its end is cut off, so that its followers are told in time.
   * @returns Resolves when the followers of all requests have their outcomes,
   *     or when the grace period is over.
   */
  async drain(graceMs: number): Promise<void> {
    const {clock, settings} = this.parts;
    const startedAt = clock.now();
    this.stopping = true;
    this.director.leave();
    const endMs = Math.min(settings.attachGraceMs, graceMs * END_SHARE);
    const workMs = graceMs - endMs;
    this.director.refuseUnsafe({startedAt, endsAt: startedAt + workMs});
    const end = clock.after(workMs, () => this.director.cutOff());
    await this.idle(startedAt + graceMs);
    end[Symbol.dispose]();
  }

  /** Stops watching the engine and driving admission. */
  [Symbol.dispose](): void {
    this.engine?.[Symbol.dispose]();
    this.director[Symbol.dispose]();
  }

  private createEngineDesk(): EngineDesk | undefined {
    const {backends, settings} = this.parts;
    if (!backends.engine || !settings.engine) return undefined;
    return new EngineDesk(backends.engine, settings.engine, this.parts, {
      load: load => {
        this.director.admission.report({kind: 'load', load});
        this.board.touch();
      },
      changed: () => this.board.touch(),
    });
  }

  private known(req: ServeRequest): TargetRun | undefined {
    const same = this.memory.byAttempt(req.id, req.attempt);
    return same ?? this.memory.sameOutcome(req);
  }

  private refusal(req: ServeRequest): Refusal | undefined {
    const barred = this.memory.barred(req);
    if (barred) return barred;
    if (!this.director.leaving) return this.gate.refusal(req);
    return notRun('leaving', 'this target takes no new work');
  }

  private adopt(config: TargetConfig): void {
    if (!this.config.offer(config)) return;
    this.configure();
    if (config.leaving) this.director.leave();
    this.onChange();
  }

  private configure(): void {
    const {pools, callerWeights} = this.config.config;
    this.director.admission.report({kind: 'config', pools, callerWeights});
  }

  /** Also takes work again when the target was declared back in. */
  private onChange(): void {
    const {leaving, admission} = this.director;
    const wanted = this.stopping || this.config.config.leaving;
    if (leaving && !wanted && admission.idle) {
      this.director.rejoin();
      this.configure();
    }
    this.board.touch();
  }

  /**
   * Guards against a process that ends while a link still asks for it: a request
   * was on its way when the stop began, or an outcome went over a connection
   * that had gone silent. With the process gone, nobody could say any more what
   * became of the request. So it stays until it was idle for as long as a link
   * may take to attach again.
   *
   * @param until - Ends the wait, on the process's clock, in milliseconds.
   */
  private async idle(until: number): Promise<void> {
    const {clock, settings} = this.parts;
    const busy = () => this.memory.runningCount + this.followers.count > 0;
    let busyAt = clock.now();
    while (clock.now() < until) {
      if (busy()) busyAt = clock.now();
      else if (clock.now() - busyAt >= settings.attachGraceMs) return;
      await sleep(clock, IDLE_CHECK_MS);
    }
  }
}

/** A key names one request: another one must not get its answer. */
function conflict(run: TargetRun, req: ServeRequest): Refusal | undefined {
  const same = workFingerprint(run.req.work) === workFingerprint(req.work);
  if (same) return undefined;
  return notRun('key-conflict', 'the key was used for another request');
}
