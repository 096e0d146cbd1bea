/**
 * A process that a bench starts: it runs entries, target processes, engines or
 * a platform in their real code, and tells what it uses.
 */
import {SYSTEM_CLOCK, seededRandom, systemSeed} from '@oathead/core';
import {ENTRY_SETTINGS, runEntry} from '@oathead/entry';
import {Metrics} from '@oathead/observe';
import {HttpPlatform} from '@oathead/stores';
import {EngineStandIn, FakeEngine, PlatformStandIn} from '@oathead/stand-ins';
import {MAIN_PARTS, TARGET_SETTINGS, runDaemon} from '@oathead/target';
import {FixedAdmission} from '../../../../target/dist/test/fixed_admission.js';
import type {EngineSpec, HostAnswer, HostRequest} from './host_protocol.js';
import {SocketMeter} from './socket_bytes.js';
import {BENCH_MODEL} from './virtual_fleet.js';

type Asked<K extends HostRequest['kind']> = Extract<
  HostRequest,
  {readonly kind: K}
>;

const HOST = '127.0.0.1';
const DATA_CENTRE = 'hall-a';
const US_PER_MS = 1_000;
/** Costs are measured here, so nothing is refused. */
const MAX_RUNNING = 2_048;
/** The stores are not what is measured here. */
const PLENTY = 1_000_000;

const meter = new SocketMeter();

const HANDLERS: {
  readonly [K in HostRequest['kind']]: (req: Asked<K>) => Promise<HostAnswer>;
} = {
  platform: async () => {
    const rates = {writesPerSecond: PLENTY, readsPerSecond: PLENTY};
    return ports([await new PlatformStandIn(rates).listen()]);
  },
  engines: async ({engines}) =>
    ports(
      await Promise.all(
        engines.map(engine =>
          new EngineStandIn(engineOptions(engine)).listen(),
        ),
      ),
    ),
  targets: async req =>
    ports(await Promise.all(req.names.map((name, i) => startTarget(req, i)))),
  entries: async req => ports(await startEntries(req)),
  usage: async ({collect}) => {
    if (collect) global.gc?.();
    const {user, system} = process.cpuUsage();
    const {heapUsed, rss} = process.memoryUsage();
    return {
      kind: 'usage',
      usage: {
        cpuMs: (user + system) / US_PER_MS,
        heapBytes: heapUsed,
        residentBytes: rss,
        sockets: meter.read(),
        atMs: performance.now(),
      },
    };
  },
};

function ports(list: readonly number[]): HostAnswer {
  return {kind: 'ports', ports: list};
}

function engineOptions(model: EngineSpec) {
  const options = {
    ...model,
    stepMsPerSequence: 0,
    prefillTokensPerSecond: PLENTY,
    prefillTokensPerStep: PLENTY,
    kvTokens: PLENTY,
  };
  const served = {versions: [{model: BENCH_MODEL, version: 'v1'}]};
  return {model: options, served};
}

function startTarget(
  {names, engineUrls, engine}: Asked<'targets'>,
  index: number,
): Promise<number> {
  const url = engineUrls?.[index] ?? `http://${HOST}:1`;
  const settings = TARGET_SETTINGS.parse({
    targetId: names[index],
    dataCentre: DATA_CENTRE,
    listen: {host: HOST, port: 0},
    http: {host: HOST, port: 0},
    engine: {url, fenceCheck: 'unfenced'},
  });
  const inside = () => new FakeEngine(SYSTEM_CLOCK, engineOptions(engine));
  return new Promise((resolve, reject) => {
    const running = runDaemon(settings, {
      clock: SYSTEM_CLOCK,
      random: seededRandom(systemSeed()),
      metrics: new Metrics(),
      createAdmission: () => new FixedAdmission(MAX_RUNNING),
      createEngine: engineUrls ? MAIN_PARTS.createEngine : inside,
      createService: MAIN_PARTS.createService,
      stop: new AbortController().signal,
      listening: ({wire}) => resolve(wire),
    });
    running.catch(reject);
  });
}

async function startEntries(req: Asked<'entries'>): Promise<readonly number[]> {
  const started: number[] = [];
  for (const entryId of req.names) {
    const settings = ENTRY_SETTINGS.parse({
      entryId,
      dataCentre: DATA_CENTRE,
      listen: {port: 0},
      peers: {port: 0},
      platform: {kind: 'http', url: req.platformUrl},
      operatorKeyHashes: [req.operatorKeyHash],
      answers: {flushMs: req.flushMs, flushCount: req.flushCount},
    });
    const baseUrls = [req.platformUrl];
    const platform = new HttpPlatform(SYSTEM_CLOCK, {baseUrls});
    started.push((await runEntry(settings, platform)).port);
  }
  return started;
}

async function handle(req: HostRequest): Promise<HostAnswer> {
  const handler = HANDLERS[req.kind] as (
    req: HostRequest,
  ) => Promise<HostAnswer>;
  try {
    return await handler(req);
  } catch (err) {
    return {kind: 'failed', message: String(err)};
  }
}

process.on('message', message => {
  void handle(message as HostRequest).then(answer => process.send?.(answer));
});
// The bench has ended, or was ended: nothing here outlives it.
process.on('disconnect', () => process.exit());
