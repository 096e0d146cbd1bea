/** Engines and services as a target process reaches them, watched. */
import type {
  EngineClient,
  EngineEvent,
  EngineRequest,
  ServiceCall,
  ServiceClient,
  ServiceResponse,
} from '@oathead/core';
import type {FakeEngine, FakeService} from '@oathead/stand-ins';
import type {Host} from './host.js';
import {itemOf} from './observer.js';
import type {Observer, Run} from './observer.js';
import type {Step} from './steps.js';

/** What watching needs. */
export interface Watch {
  readonly target: string;
  readonly observer: Observer;
  /** Tells that an item has reached a step. */
  reach(step: Step, item: string): void;
  /** Whether a request is a caller's who waits. */
  isOnline(item: string): boolean;
}

/** Index of the token that counts as the middle of a stream. */
const MID_STREAM_TOKEN = 4;

/**
 * @param host - The target process.
 * @param engine - The engine, which lives on without the process.
 * @param watch - Told of what runs.
 * @returns The engine as the process reaches it.
 */
export function engineAt(
  host: Host,
  engine: FakeEngine,
  watch: Watch,
): EngineClient {
  return {
    generate: (req, signal) =>
      host.stream(either => watched(engine, req, either, watch), signal),
    load: () => host.hear(engine.load()),
    order: order => host.hear(engine.order(order)),
    cacheEvents: sequence => host.hear(engine.cacheEvents(sequence)),
    exportCache: prefix => host.hear(engine.exportCache(prefix)),
    importCache: cache => host.hear(engine.importCache(cache)),
  };
}

async function* watched(
  engine: FakeEngine,
  req: EngineRequest,
  signal: AbortSignal,
  watch: Watch,
): AsyncGenerator<EngineEvent> {
  const item = itemOf(req.completion);
  const before = engine.runs(req.id).started;
  const events = engine.generate(req, signal)[Symbol.asyncIterator]();
  let next = events.next();
  const isTaken = engine.runs(req.id).started > before;
  const run = isTaken ? begin(item, watch) : undefined;
  let first = true;
  try {
    for (;;) {
      const {done, value} = await next;
      if (done) return;
      if (value.kind === 'done') {
        if (run) run.done = true;
        watch.reach('finish', item);
      } else {
        if (first) watch.reach('first token', item);
        first = false;
        if (value.index >= MID_STREAM_TOKEN) watch.reach('mid-stream', item);
      }
      yield value;
      next = events.next();
    }
  } finally {
    if (run) run.endedAt = watch.observer.now;
    await events.return?.(undefined);
  }
}

/**
 * @param host - The target process.
 * @param service - The service, which lives on without the process.
 * @param watch - Told of what runs.
 * @returns The service as the process reaches it.
 */
export function serviceAt(
  host: Host,
  service: FakeService,
  watch: Watch,
): ServiceClient {
  return {
    call: (call, signal) => {
      const either = AbortSignal.any([signal, host.died]);
      return host.hear(watchedCall(service, call, either, watch));
    },
  };
}

async function watchedCall(
  service: FakeService,
  call: ServiceCall,
  signal: AbortSignal,
  watch: Watch,
): Promise<ServiceResponse> {
  const item = itemOf(call);
  const before = service.runs(item);
  const answer = service.call(call, signal);
  const run = service.runs(item) > before ? begin(item, watch) : undefined;
  if (run) watch.reach('mid-stream', item);
  try {
    const response = await answer;
    if (run) run.done = true;
    watch.reach('finish', item);
    return response;
  } finally {
    if (run) run.endedAt = watch.observer.now;
  }
}

function begin(item: string, watch: Watch): Run {
  const {observer, target} = watch;
  return observer.started(item, target, watch.isOnline(item));
}
