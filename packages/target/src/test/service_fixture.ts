/** A target service on a virtual clock, with an engine made by the test. */
import {seededRandom} from '@oathead/core';
import type {
  Clock,
  Heartbeat,
  ServeEvent,
  ServeRequest,
  ServiceClient,
  TargetConfig,
} from '@oathead/core';
import {Metrics} from '@oathead/observe';
import {trace} from '@opentelemetry/api';
import {createClock} from '@sinonjs/fake-timers';
import {TargetService} from '../lib/process/target_service.js';
import type {TargetServiceSettings} from '../lib/process/target_service.js';
import {FakeEngine} from './fake_engine.js';
import {FixedAdmission} from './fixed_admission.js';

/** How long a request outlives its connection, in milliseconds. */
export const ATTACH_GRACE_MS = 2_000;

/** Virtual time that only the test moves. */
export function virtualTime() {
  const timers = createClock(1_000);
  const clock: Clock = {
    now: () => timers.now,
    wallTime: () => timers.now,
    after(delayMs, callback) {
      const timer = timers.setTimeout(callback, delayMs);
      return {[Symbol.dispose]: () => timers.clearTimeout(timer)};
    },
  };
  const pass = (ms: number) => timers.tickAsync(ms);
  return {clock, pass};
}

export const CONFIG: TargetConfig = {
  revision: 1,
  pools: [
    {
      pool: 'review',
      kind: 'model',
      batch: {throughputWeight: 0.5, maxHarm: 1.5},
      firstTokenMs: 390,
      betweenTokensMs: 40,
      maxOnline: 8,
    },
    {
      pool: 'limits',
      kind: 'service',
      batch: {throughputWeight: 0.5, maxHarm: 1.5},
      firstTokenMs: 390,
      betweenTokensMs: 40,
      maxOnline: 8,
    },
  ],
  callerWeights: {},
  blocked: [],
};

export const SETTINGS: TargetServiceSettings = {
  targetId: 'target-1',
  dataCentre: 'hall-a',
  attachGraceMs: ATTACH_GRACE_MS,
  coalesceMs: 10,
  memory: {
    attachMs: 60_000,
    answerMs: 600_000,
    answerBytes: 1_000_000,
    startedMs: 3_600_000,
    startedCount: 1_000,
    heldBytes: 100_000,
    heldMs: 600_000,
  },
  engine: {
    fenceCheck: 'unfenced',
    orderTimeoutMs: 1_000,
    probeMs: 250,
    probeTimeoutMs: 500,
  },
  load: {pushMs: 50, bytesPerSecond: 10_000},
};

export interface FixtureOptions {
  readonly capacity?: number;
  /** Tokens to prefill before a request is started as a whole. */
  readonly firstPiece?: number;
  readonly settings?: Partial<TargetServiceSettings>;
  readonly services?: ReadonlyMap<string, ServiceClient>;
  readonly engine?: FakeEngine;
  /** Tells one boot from another. */
  readonly seed?: number;
}

/** Starts a service that has its configuration and an engine that answers. */
export async function startService(options: FixtureOptions = {}) {
  const {clock, pass} = virtualTime();
  const engine = options.engine ?? new FakeEngine();
  const service = new TargetService({
    clock,
    random: seededRandom(options.seed ?? 1),
    metrics: new Metrics(),
    tracer: trace.getTracer('test'),
    createAdmission: () =>
      new FixedAdmission(options.capacity ?? 2, options.firstPiece),
    backends: {engine, services: options.services ?? new Map()},
    settings: {...SETTINGS, ...options.settings},
  });
  service.start();
  await service.heartbeat(offer(CONFIG));
  await pass(0);
  return {service, engine, clock, pass};
}

/** A heartbeat that brings a configuration. */
export function offer(cfg: TargetConfig): Heartbeat {
  return {entryId: 'e1', cfgRevision: cfg.revision, cfg};
}

let requests = 0;

/** A streamed online completion, unless told otherwise. */
export function request(over: Partial<ServeRequest> = {}): ServeRequest {
  return {
    id: `r${++requests}`,
    attempt: 1,
    entryId: 'e1',
    caller: 'bank-a',
    class: 'online',
    work: {
      kind: 'completion',
      model: 'review',
      input: {kind: 'prompt', prompt: 'is the limit fair?'},
      maxTokens: 16,
    },
    idempotent: true,
    timeoutMs: 30_000,
    promptTokens: 5,
    stream: true,
    ...over,
  };
}

/** Collects what a follower gets, and lets it leave. */
export function follow(
  events: (signal: AbortSignal) => AsyncIterable<ServeEvent>,
) {
  const leaving = new AbortController();
  const got: ServeEvent[] = [];
  const ended = (async () => {
    for await (const event of events(leaving.signal)) got.push(event);
    return got.at(-1);
  })();
  const leave = (reason?: unknown) => leaving.abort(reason);
  return {got, ended, leave};
}

/** Sends a request to a service and collects its events. */
export function send(service: TargetService, req: ServeRequest) {
  return follow(signal => service.serve(req, signal));
}

/** The text of the tokens that a follower got, checked to have no hole. */
export function streamedText(got: readonly ServeEvent[], from = 0): string {
  let next = from;
  let text = '';
  for (const event of got) {
    if (event.kind !== 'tokens') continue;
    if (event.index !== next) throw new Error(`hole at token ${next}`);
    next += event.count;
    text += event.text;
  }
  return text;
}

/** What a last event tells of a refusal, such as `leaving not-run`. */
export function refusalText(event: ServeEvent | undefined): string {
  if (event?.kind !== 'refused') return `no refusal: ${event?.kind}`;
  return `${event.refusal.kind} ${event.refusal.ran}`;
}
