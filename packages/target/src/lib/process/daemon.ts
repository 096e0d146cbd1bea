/** The running target process: listens, serves, and stops with grace. */
import {createDebugLog, startTracing} from '@oathead/observe';
import type {Metrics} from '@oathead/observe';
import type {Clock, EngineClient, Random, ServiceClient} from '@oathead/core';
import {DisposableStore} from '@oathead/core';
import {serveWire} from '@oathead/wire';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {WebSocketServer} from 'ws';
import type {AdmissionFactory} from './admission_driver.js';
import {createHttpStatus} from './http_status.js';
import {showLoad} from './load_gauges.js';
import {TargetService} from './target_service.js';
import {serviceSettings} from './target_settings.js';
import type {TargetSettings} from './target_settings.js';

/** What a target process is made of. */
export interface DaemonParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly createAdmission: AdmissionFactory;
  /** Makes the client of the engine at an address. */
  createEngine(url: string): EngineClient;
  /** Makes the client of the plain service at an address. */
  createService(url: string): ServiceClient;
  /** Asks the process to stop. */
  readonly stop: AbortSignal;
  /** Told once the process listens. */
  listening?(ports: {readonly wire: number; readonly http: number}): void;
}

/** Larger requests are refused by the connection. */
const MAX_MESSAGE_BYTES = 16 << 20;
/** Longest wait for peers to close, in milliseconds. */
const CLOSE_WAIT_MS = 1_000;

const log = createDebugLog('target');

/**
 * Runs until asked to stop; then nothing in flight is cut off within the grace
 * period.
 *
 * @param settings - The settings.
 * @param parts - What the process is made of.
 * @returns Resolves when all is closed.
 * @throws Error when it can't listen.
 */
export async function runDaemon(
  settings: TargetSettings,
  parts: DaemonParts,
): Promise<void> {
  using owned = new DisposableStore();
  const tracing = startTracing('oathead-target', settings.tracing);
  const service = owned.add(createService(settings, parts, tracing.tracer));
  showLoad(parts.metrics, () => service.load());
  const wire = createServer();
  const http = createHttpStatus({
    ready: () => service.ready,
    metricsText: () => parts.metrics.text(),
  });
  owned.defer(() => closeServer(wire));
  owned.defer(() => closeServer(http));
  const ports = {
    wire: await listen(wire, settings.listen),
    http: await listen(http, settings.http),
  };
  const sockets = new WebSocketServer({
    server: wire,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  owned.defer(() => cutStragglers(sockets, parts.clock));
  owned.add(serveWire(sockets, service));
  service.start();
  log('listens on port %d', ports.wire);
  parts.listening?.(ports);
  await aborted(parts.stop);
  log('leaves');
  await service.drain(settings.graceMs);
  await tracing.shutdown();
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

/** A peer that never answers the close must not keep the process up. */
function cutStragglers(sockets: WebSocketServer, clock: Clock): void {
  const cut = () => {
    for (const socket of sockets.clients) socket.terminate();
  };
  clock.after(CLOSE_WAIT_MS, cut);
}

function createService(
  settings: TargetSettings,
  parts: DaemonParts,
  tracer: ConstructorParameters<typeof TargetService>[0]['tracer'],
): TargetService {
  const {engine, services} = settings;
  return new TargetService({
    clock: parts.clock,
    random: parts.random,
    metrics: parts.metrics,
    tracer,
    createAdmission: parts.createAdmission,
    backends: {
      engine: engine && parts.createEngine(engine.url),
      services: new Map(
        Object.entries(services).map(([name, {url}]) => [
          name,
          parts.createService(url),
        ]),
      ),
    },
    settings: serviceSettings(settings),
  });
}

async function listen(
  server: Server,
  {host, port}: TargetSettings['listen'],
): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

async function aborted(signal: AbortSignal): Promise<void> {
  if (!signal.aborted) await once(signal, 'abort');
}
