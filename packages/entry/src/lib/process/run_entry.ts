/** The entry as a process: sockets, signals, and what is shown at `/metrics`. */
import {readFileSync} from 'node:fs';
import {createServer as createHttpServer} from 'node:http';
import type {Server} from 'node:http';
import {createServer as createHttpsServer} from 'node:https';
import type {AddressInfo} from 'node:net';
import {BATCH_DEFAULTS} from '@oathead/batch';
import {
  DisposableStore,
  SYSTEM_CLOCK,
  seededRandom,
  systemSeed,
} from '@oathead/core';
import {MEMBERSHIP_DEFAULTS} from '@oathead/membership';
import {Metrics, createDebugLog, startTracing} from '@oathead/observe';
import type {Tracing} from '@oathead/observe';
import type {Platform} from '@oathead/stores';
import {TrpcTargetLink} from '@oathead/wire';
import type {ClientTls} from '@oathead/wire';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import {ApiConnections} from '../connection/api_connections.js';
import {TrpcPeerLink} from '../connection/peer_link.js';
import {peerRouter} from '../connection/peer_router.js';
import {jsonResponse} from '../request/api.js';
import type {ApiResponse} from '../request/api.js';
import {Entry} from './entry.js';
import type {EntryCoreSettings} from './entry.js';
import type {EntrySettings} from './entry_settings.js';
import {apiListener} from './http_server.js';

const log = createDebugLog('entry:process');
const PEER_SILENCE_MS = 1000;

/** A running entry. */
export interface RunningEntry {
  readonly entry: Entry;
  readonly metrics: Metrics;
  /** Port for callers and operators. */
  readonly port: number;
  /** Stops as planned, within the grace time of the settings. */
  stop(): Promise<void>;
}

/**
 * Starts an entry on its sockets.
 *
 * @param settings - Its settings.
 * @param platform - The platform that it is to use.
 * @returns The entry, listening; it may not be ready yet.
 */
export async function runEntry(
  settings: EntrySettings,
  platform: Platform,
): Promise<RunningEntry> {
  const held = new DisposableStore();
  const metrics = new Metrics();
  const tracing = startTracing('oathead', settings.tracing);
  const peers = createPeerServer(settings);
  await listen(peers, settings.peers);
  const peerAddress =
    settings.peers.advertise ??
    `${settings.peers.host}:${(peers.address() as AddressInfo).port}`;
  const entry = held.add(
    createEntry(settings, platform, peerAddress, metrics, tracing),
  );
  const sockets = servePeers(peers, entry);
  const api = createApiServer(settings, entry, metrics);
  const connections = new ApiConnections(api);
  await listen(api, settings.listen);
  const {port} = api.address() as AddressInfo;
  log('%s listens on %d, peers on %s', settings.entryId, port, peerAddress);
  void entry.start();
  return {
    entry,
    metrics,
    port,
    stop: async () => {
      // Callers with open connections still get answers; new ones go elsewhere.
      connections.stopListening();
      connections.closeIdle();
      await entry.stop(settings.graceMs, connections);
      connections.closeAll();
      sockets.close();
      peers.close();
      peers.closeAllConnections();
      held[Symbol.dispose]();
      await tracing.shutdown();
    },
  };
}

function createEntry(
  settings: EntrySettings,
  platform: Platform,
  peerAddress: string,
  metrics: Metrics,
  tracing: Tracing,
): Entry {
  const clock = SYSTEM_CLOCK;
  const tls = clientTls(settings);
  const scheme = tls ? 'wss' : 'ws';
  return new Entry({
    clock,
    random: seededRandom(systemSeed()),
    counters: metrics,
    tracer: tracing.tracer,
    platform,
    linkTo: (targetId, address) =>
      new TrpcTargetLink({
        url: `${scheme}://${address}`,
        clock,
        counters: metrics,
        ...(tls ? {tls} : {}),
      }),
    peerLinkTo: peer =>
      new TrpcPeerLink({
        url: `${scheme}://${peer.address}`,
        clock,
        silenceMs: PEER_SILENCE_MS,
        ...(tls ? {tls} : {}),
      }),
    settings: coreSettings(settings, peerAddress),
  });
}

function coreSettings(
  settings: EntrySettings,
  peerAddress: string,
): EntryCoreSettings {
  const {entryId, dataCentre, requests, limits} = settings;
  return {
    membership: {
      ...MEMBERSHIP_DEFAULTS,
      ...settings.membership,
      entryId,
      dataCentre,
      address: peerAddress,
    },
    fleet: settings.fleet,
    answers: settings.answers,
    batch: BATCH_DEFAULTS,
    operatorKeyHashes: settings.operatorKeyHashes,
    defaultDeadlineMs: requests.defaultDeadlineMs,
    maxDeadlineMs: requests.maxDeadlineMs,
    batchItemTimeoutMs: requests.batchItemTimeoutMs,
    maxJobBytes: limits.maxJobBytes,
  };
}

function createApiServer(
  settings: EntrySettings,
  entry: Entry,
  metrics: Metrics,
): Server {
  const {
    limits,
    listen: {tls},
  } = settings;
  const options = {
    maxHeaderSize: limits.maxHeaderBytes,
    requestTimeout: limits.requestTimeoutMs,
  };
  const listener = apiListener({
    router: entry.router,
    limits,
    open: openPaths(entry, metrics),
    counters: metrics,
    clock: SYSTEM_CLOCK,
    stop: entry.plannedStop,
  });
  if (!tls) return createHttpServer(options, listener);
  return createHttpsServer(
    {...options, ...serverTls(tls)},
    listener,
  ) as unknown as Server;
}

function openPaths(
  entry: Entry,
  metrics: Metrics,
): Readonly<Record<string, () => Promise<ApiResponse>>> {
  const ready = () =>
    jsonResponse({ready: entry.ready}, entry.ready ? 200 : 503);
  const shown = async () => ({
    status: 200,
    headers: {'content-type': 'text/plain; version=0.0.4'},
    body: await metrics.text(),
  });
  return Object.fromEntries<() => Promise<ApiResponse>>([
    ['/healthz', async () => jsonResponse({healthy: true})],
    ['/readyz', async () => ready()],
    ['/metrics', shown],
  ]);
}

function createPeerServer(settings: EntrySettings): Server {
  const tls = settings.peers.tls;
  if (!tls) return createHttpServer();
  const options = {...serverTls(tls), requestCert: true};
  return createHttpsServer(options) as unknown as Server;
}

function servePeers(server: Server, entry: Entry): WebSocketServer {
  const sockets = new WebSocketServer({server});
  applyWSSHandler({
    wss: sockets,
    router: peerRouter,
    createContext: () => ({handler: entry}),
  });
  return sockets;
}

type TlsFiles = NonNullable<EntrySettings['listen']['tls']>;

function serverTls({cert, key, ca}: TlsFiles): {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca?: Buffer;
} {
  return {
    cert: readFileSync(cert),
    key: readFileSync(key),
    ...(ca === undefined ? {} : {ca: readFileSync(ca)}),
  };
}

/** Between its own processes the system has certificates at both ends. */
function clientTls(settings: EntrySettings): ClientTls | undefined {
  const {tls} = settings.peers;
  if (!tls) return undefined;
  return {
    cert: readFileSync(tls.cert),
    key: readFileSync(tls.key),
    ca: readFileSync(tls.ca),
  };
}

function listen(
  server: Server,
  {host, port}: {readonly host: string; readonly port: number},
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
