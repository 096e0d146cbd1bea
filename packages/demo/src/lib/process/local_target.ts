/** A target process and its engine inside this process, on loopback. */
import {
  DisposableStore,
  TargetAdmission,
  SYSTEM_CLOCK,
  seededRandom,
} from '@oathead/core';
import {Metrics} from '@oathead/observe';
import {FakeEngine, FakeService} from '@oathead/stand-ins';
import {TARGET_SETTINGS, runDaemon} from '@oathead/target';

/** How a local target is set up. */
export interface LocalTargetOptions {
  readonly targetId: string;
  readonly dataCentre: string;
  readonly seed: number;
  /** Versions that the engine serves; absent for a plain service. */
  readonly models?: readonly {
    readonly model: string;
    readonly version: string;
  }[];
  /** Name of the plain service. */
  readonly service?: string;
}

/** A running local target. */
export interface LocalTarget {
  /** Host and port of its target process. */
  readonly address: string;
  readonly metrics: Metrics;
  /** Stops as planned. */
  stop(): Promise<void>;
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
  const stop = new AbortController();
  const metrics = new Metrics();
  const {port, ended} = await listening(onPort =>
    runDaemon(settingsOf(options), {
      clock: SYSTEM_CLOCK,
      random: seededRandom(options.seed),
      metrics,
      createAdmission: () => new TargetAdmission(),
      createEngine: () =>
        held.add(
          new FakeEngine(SYSTEM_CLOCK, {
            served: {versions: options.models ?? []},
          }),
        ),
      createService: () => new FakeService(SYSTEM_CLOCK),
      stop: stop.signal,
      listening: ({wire}) => onPort(wire),
    }),
  );
  return {
    address: `${HOST}:${port}`,
    metrics,
    stop: async () => {
      stop.abort();
      await ended;
      held[Symbol.dispose]();
    },
  };
}

interface Listening {
  readonly port: number;
  /** Settles when the daemon has stopped. */
  readonly ended: Promise<void>;
}

/** Waits until a daemon listens; rejects when it cannot. */
function listening(
  run: (onPort: (port: number) => void) => Promise<void>,
): Promise<Listening> {
  return new Promise((resolve, reject) => {
    const ended = run(port => resolve({port, ended}));
    ended.catch(reject);
  });
}

/** The engine and the service are in this process: their URLs go unused. */
function settingsOf({
  targetId,
  dataCentre,
  models,
  service,
}: LocalTargetOptions) {
  const url = 'http://127.0.0.1:1';
  return TARGET_SETTINGS.parse({
    targetId,
    dataCentre,
    listen: {host: HOST, port: 0},
    http: {host: HOST, port: 0},
    ...(models ? {engine: {url, fenceCheck: 'unfenced'}} : {}),
    ...(service ? {services: {[service]: {url}}} : {}),
    graceMs: 5000,
  });
}
