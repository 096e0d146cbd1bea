/**
 * A fleet of processes on loopback around one entry and one target process
 * that are measured, each alone in its process.
 */
import {createHash} from 'node:crypto';
import {DisposableStore, SYSTEM_CLOCK, sleep} from '@oathead/core';
import {request} from 'undici';
import {HostProcess} from './host_process.js';
import type {EngineSpec, Usage} from './host_protocol.js';
import {BENCH_KEY, BENCH_MODEL} from './virtual_fleet.js';

/** How a fleet is made up. */
export interface FleetSpec {
  /** Entries beside the measured one; they share one process. */
  readonly peers: number;
  /** Targets beside the measured one; they share one process. */
  readonly otherTargets: number;
  /** Whether there is a measured target with an engine process. */
  readonly target: boolean;
  readonly engine: EngineSpec;
  /** Longest time that an answer is held unwritten, in milliseconds. */
  readonly flushMs?: number;
  readonly flushCount?: number;
}

const HOST = '127.0.0.1';
const READY_CHECK_MS = 100;
const READY_CHECKS = 300;
const DEFAULT_FLUSH_MS = 1_000;
const DEFAULT_FLUSH_COUNT = 64;
const FIRST_ERROR_STATUS = 300;

/** Ports by what is reached on them. */
export interface FleetPorts {
  readonly platform: number;
  readonly api: number;
  readonly peerApis: readonly number[];
  /** The measured target's, if there is one. */
  readonly target: number | undefined;
  readonly otherTargets: readonly number[];
  readonly engine: number | undefined;
}

/** A running fleet. */
export class MeasuredFleet implements Disposable {
  private constructor(
    private readonly held: DisposableStore,
    readonly entry: HostProcess,
    readonly target: HostProcess,
    readonly ports: FleetPorts,
  ) {}

  /**
   * @param spec - How it is made up.
   * @returns The fleet, once the measured entry serves.
   */
  static async start(spec: FleetSpec): Promise<MeasuredFleet> {
    const held = new DisposableStore();
    const process = () => held.add(new HostProcess());
    const [entry, target] = [process(), process()];
    const [platform] = await process().run({kind: 'platform'});
    const {engine, target: withTarget} = spec;
    const [enginePort] = withTarget
      ? await process().run({kind: 'engines', engines: [engine]})
      : [];
    const [targetPort] = withTarget
      ? await target.run({
          kind: 'targets',
          names: ['measured'],
          engineUrls: [urlOf(enginePort!)],
          engine,
        })
      : [];
    const otherNames = names('target', spec.otherTargets);
    const otherTargets = await process().run({
      kind: 'targets',
      names: otherNames,
      engine,
    });
    const entries = (list: readonly string[]) =>
      ({
        kind: 'entries',
        names: list,
        platformUrl: urlOf(platform!),
        operatorKeyHash: sha256(BENCH_KEY),
        flushMs: spec.flushMs ?? DEFAULT_FLUSH_MS,
        flushCount: spec.flushCount ?? DEFAULT_FLUSH_COUNT,
      }) as const;
    const [api] = await entry.run(entries(['measured']));
    const peerApis = await process().run(entries(names('peer', spec.peers)));
    const ports = {
      platform: platform!,
      api: api!,
      peerApis,
      target: targetPort,
      otherTargets,
      engine: enginePort,
    };
    const fleet = new MeasuredFleet(held, entry, target, ports);
    await fleet.declare(otherNames);
    return fleet;
  }

  /** Base address of the measured entry. */
  get url(): string {
    return urlOf(this.ports.api);
  }

  [Symbol.dispose](): void {
    this.held[Symbol.dispose]();
  }

  private async declare(otherNames: readonly string[]): Promise<void> {
    await until(async () => (await this.get('/readyz')) === 200);
    await this.put('models', BENCH_MODEL, {type: 'model', maxOnline: 1_024});
    const {target, otherTargets} = this.ports;
    if (target !== undefined) await this.putTarget('measured', target);
    for (const [i, name] of otherNames.entries()) {
      await this.putTarget(name, otherTargets[i]!);
    }
    if (target !== undefined || otherNames.length > 0) {
      await until(() => this.serves());
    }
  }

  private putTarget(name: string, port: number): Promise<void> {
    return this.put('targets', name, {
      pools: [BENCH_MODEL],
      address: `${HOST}:${port}`,
      dataCentre: 'hall-a',
      fenceCheck: 'unfenced',
    });
  }

  private async serves(): Promise<boolean> {
    const body = {model: BENCH_MODEL, prompt: '[[slow]]', max_tokens: 1};
    const status = await call('POST', `${this.url}/v1/completions`, body);
    return status === 200;
  }

  private get(path: string): Promise<number> {
    return call('GET', `${this.url}${path}`);
  }

  private async put(kind: string, name: string, spec: object): Promise<void> {
    const url = `${this.url}/v1/resources/${kind}/${name}`;
    const status = await call('PUT', url, {spec});
    if (status >= FIRST_ERROR_STATUS) {
      throw new Error(`${kind}/${name}: status ${status}`);
    }
  }
}

/** What a process used in a while. */
export interface Spent {
  readonly seconds: number;
  readonly cpuMs: number;
  /** Bytes by port. */
  readonly in: (...ports: readonly (number | undefined)[]) => number;
  readonly out: (...ports: readonly (number | undefined)[]) => number;
  /** Bytes by all other ports. */
  readonly otherIn: (...ports: readonly (number | undefined)[]) => number;
  readonly otherOut: (...ports: readonly (number | undefined)[]) => number;
}

/**
 * @param before - What was used before.
 * @param after - What was used after.
 * @returns What was used between.
 */
export function spentBetween(before: Usage, after: Usage): Spent {
  const total =
    (way: 'in' | 'out', listed: boolean) =>
    (...ports: readonly (number | undefined)[]) => {
      const wanted = new Set(ports.map(String));
      let bytes = 0;
      for (const [port, now] of Object.entries(after.sockets)) {
        if (wanted.has(port) !== listed) continue;
        bytes += now[way] - (before.sockets[port]?.[way] ?? 0);
      }
      return bytes;
    };
  return {
    seconds: (after.atMs - before.atMs) / 1_000,
    cpuMs: after.cpuMs - before.cpuMs,
    in: total('in', true),
    out: total('out', true),
    otherIn: total('in', false),
    otherOut: total('out', false),
  };
}

function names(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (unused, i) => `${prefix}-${i}`);
}

function urlOf(port: number): string {
  return `http://${HOST}:${port}`;
}

async function call(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  json?: object,
): Promise<number> {
  const res = await request(url, {
    method,
    headers: {
      authorization: `Bearer ${BENCH_KEY}`,
      'content-type': 'application/json',
    },
    ...(json === undefined ? {} : {body: JSON.stringify(json)}),
  });
  await res.body.dump();
  return res.statusCode;
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < READY_CHECKS; i++) {
    if (await condition()) return;
    await sleep(KEEPING_CLOCK, READY_CHECK_MS);
  }
  throw new Error('the fleet is not ready in time');
}

/** Keeps this process up while it waits; the system's clock does not. */
export const KEEPING_CLOCK = {
  ...SYSTEM_CLOCK,
  after(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return {[Symbol.dispose]: () => clearTimeout(timer)};
  },
};

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
