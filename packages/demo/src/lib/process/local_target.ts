/** A target process and its engine inside this process, on loopback. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {DisposableStore, EngineAdmission, SYSTEM_CLOCK} from '@oathead/core';
import {seededRandom} from '@oathead/core';
import type {Metrics} from '@oathead/observe';
import {FakeEngine, FakeService} from '@oathead/stand-ins';
import {TargetService} from '@oathead/target';
import {serveWire} from '@oathead/wire';
import {WebSocketServer} from 'ws';

/** How a local target is set up. */
export interface LocalTargetOptions {
  readonly targetId: string;
  readonly dataCentre: string;
  readonly seed: number;
  readonly metrics: Metrics;
  /** Versions that the engine serves; absent for a plain service. */
  readonly models?: readonly {
    readonly model: string;
    readonly version: string;
  }[];
  /** Name of the plain service. */
  readonly service?: string;
}

/** A running local target. */
export interface LocalTarget extends Disposable {
  readonly service: TargetService;
  /** Host and port of its target process. */
  readonly address: string;
}

const HOST = '127.0.0.1';

/**
 * @param options - How it is set up.
 * @returns The target, listening.
 */
export async function startLocalTarget(
  options: LocalTargetOptions,
): Promise<LocalTarget> {
  const held = new DisposableStore();
  const service = held.add(createService(options, held));
  const server = createServer();
  const sockets = new WebSocketServer({server});
  held.add(serveWire(sockets, service));
  held.defer(() => {
    server.close();
    server.closeAllConnections();
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  service.start();
  const {port} = server.address() as AddressInfo;
  return {
    service,
    address: `${HOST}:${port}`,
    [Symbol.dispose]: () => held[Symbol.dispose](),
  };
}

function createService(
  options: LocalTargetOptions,
  held: DisposableStore,
): TargetService {
  const clock = SYSTEM_CLOCK;
  const engine = options.models
    ? held.add(new FakeEngine(clock, {served: {versions: options.models}}))
    : undefined;
  const services = options.service
    ? new Map([[options.service, new FakeService(clock)]])
    : new Map();
  return new TargetService({
    clock,
    random: seededRandom(options.seed),
    counters: options.metrics,
    createAdmission: () => new EngineAdmission(),
    backends: {...(engine ? {engine} : {}), services},
    settings: {
      targetId: options.targetId,
      dataCentre: options.dataCentre,
      fenceCheck: 'unfenced',
      attachGraceMs: 2000,
      coalesceMs: 10,
      orderTimeoutMs: 10_000,
      memory: {
        attachMs: 10_000,
        answerMs: 600_000,
        answerBytes: 64 * 1024 * 1024,
        startedMs: 3_600_000,
        startedCount: 100_000,
        heldBytes: 64 * 1024 * 1024,
      },
      engine: {probeMs: 200, probeTimeoutMs: 1000},
      load: {pushMs: 50, bytesPerSecond: 10_000},
    },
  });
}
