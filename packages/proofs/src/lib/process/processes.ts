/** Entries and target processes of the fleet, without sockets. */
import {TargetAdmission, hash32, seededRandom} from '@oathead/core';
import type {Counters, Work} from '@oathead/core';
import {Entry, peerRouter} from '@oathead/entry';
import type {Platform} from '@oathead/stores';
import type {FakeEngine, FakeService} from '@oathead/stand-ins';
import type {VirtualClock} from '@oathead/stand-ins';
import {TargetService} from '@oathead/target';
import {TrpcTargetLink, targetRouter} from '@oathead/wire';
import {trace} from '@opentelemetry/api';
import {connectDirectly} from '../connection/direct_channel.js';
import {DirectPeerLink} from '../connection/direct_peer_link.js';
import {engineAt, serviceAt} from './backends.js';
import type {Watch} from './backends.js';
import {Host} from './host.js';
import type {Network} from './network.js';
import {itemOf} from './observer.js';
import {entrySettings, targetSettings} from './proof_settings.js';

/** One entry. */
export interface EntryProcess {
  readonly id: string;
  readonly host: Host;
  readonly entry: Entry;
  /** Whether new connections of callers are turned away. */
  stopping: boolean;
}

/** What stands beside a target process; it lives on without it. */
export interface Backend {
  readonly engine?: FakeEngine;
  readonly service?: FakeService;
}

/** One target process. */
export interface TargetProcess {
  readonly id: string;
  readonly address: string;
  readonly host: Host;
  readonly service: TargetService;
  readonly backend: Backend;
}

/** What processes are started with. */
export interface ProcessParts {
  readonly clock: VirtualClock;
  readonly network: Network;
  readonly counters: Counters;
  readonly seed: number;
}

const TRACER = trace.getTracer('proofs');

/**
 * @param parts - Time, network and seed.
 * @param id - Names the entry.
 * @param address - Where other entries connect.
 * @param host - The host it runs on.
 * @param platform - The platform as it reaches it.
 * @returns The entry, started.
 */
export function startEntry(
  {network, counters, seed}: ProcessParts,
  id: string,
  address: string,
  host: Host,
  platform: Platform,
): EntryProcess {
  const entry = new Entry({
    clock: host.clock,
    random: seededRandom(hash32(`${seed}/${id}`)),
    counters,
    tracer: TRACER,
    platform,
    linkTo: (targetId, to) =>
      new TrpcTargetLink({
        url: to,
        clock: host.clock,
        counters,
        connect: (options, events) =>
          connectDirectly(network, host, to, events),
      }),
    peerLinkTo: peer => new DirectPeerLink(network, host, peer.address),
    settings: entrySettings(id, address),
  });
  network.listen(address, {
    host,
    procedures: async (path, input, signal) => {
      const caller = peerRouter.createCaller({handler: entry}, {signal});
      return call(caller, path, input);
    },
  });
  void entry.start();
  return {id, host, entry, stopping: false};
}

/**
 * @param parts - Time, network and seed.
 * @param id - Names the target.
 * @param address - Where entries connect.
 * @param boot - Counts the starts of its process.
 * @param backend - What stands beside it.
 * @param serviceName - Name of the plain service, if it is one.
 * @param watch - Told of what runs.
 * @returns The target process, started.
 */
export function startTarget(
  {clock, network, seed}: ProcessParts,
  id: string,
  address: string,
  boot: number,
  backend: Backend,
  serviceName: string | undefined,
  watch: Watch,
): TargetProcess {
  const host = new Host(id, clock);
  host.died.addEventListener('abort', () => watch.observer.died(id));
  const {engine, service} = backend;
  const services = service && [
    [serviceName!, serviceAt(host, service, watch)] as const,
  ];
  const target = new TargetService({
    clock: host.clock,
    random: seededRandom(hash32(`${seed}/${id}/${boot}`)),
    metrics: {count: () => {}, record: () => {}},
    tracer: TRACER,
    createAdmission: () => new TargetAdmission(),
    backends: {
      ...(engine ? {engine: engineAt(host, engine, watch)} : {}),
      services: new Map(services),
    },
    settings: targetSettings(id, serviceName),
  });
  network.listen(address, {
    host,
    procedures: async (path, input, signal, socket) => {
      const ctx = {handler: target, socket: socket as never};
      const caller = targetRouter.createCaller(ctx, {signal});
      const answer = await call(caller, path, input);
      if (path !== 'serve') return answer;
      const {work} = input as {readonly work: Work};
      return watchedServe(itemOf(work), answer as Events, watch);
    },
  });
  target.start();
  return {id, address, host, service: target, backend};
}

type Events = AsyncIterable<{readonly kind: string}>;

async function* watchedServe(
  item: string,
  events: Events,
  watch: Watch,
): AsyncGenerator<unknown> {
  const {observer, target} = watch;
  observer.arrived(item, target, watch.isOnline(item));
  try {
    yield* events;
  } finally {
    observer.endedUnstarted(item, target);
  }
}

function call(caller: unknown, path: string, input: unknown): Promise<unknown> {
  const procedures = caller as Readonly<
    Record<string, (input: unknown) => Promise<unknown>>
  >;
  return procedures[path]!(input);
}
