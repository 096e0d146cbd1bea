/** What connections cost at rest and under load: heartbeats, reports, gossip. */
import {sleep} from '@oathead/core';
import {createApiSender, poissonArrivals, runLoad} from '@oathead/load';
import {KEEPING_CLOCK, MeasuredFleet} from './measured_fleet.js';
import {
  QUICK_ENGINE,
  idleSamples,
  pointOf,
  sampleDuring,
} from './process_slopes.js';
import type {Sample} from './process_slopes.js';
import {slopeOf} from './slope.js';
import type {Slope} from './slope.js';
import {BENCH_KEY, BENCH_MODEL} from './virtual_fleet.js';

const KB = 1_024;
const TARGETS = [8, 24, 48] as const;
const PEERS = [1, 4, 16] as const;
const ENTRIES = [1, 2, 4, 8] as const;
const BUSY_TARGETS = [2, 4, 8] as const;
const BUSY_PEERS = 7;
const BUSY_RATE_PER_TARGET = 6;
const BUSY_TOKENS = 24;
const BUSY_S = 4;
const REPEATS = 3;
const WARM_MS = 2_000;

/** @returns All slopes of this kind. */
export async function controlSlopes(): Promise<readonly Slope[]> {
  return [
    ...(await idleTargets()),
    ...(await idlePeers()),
    ...(await idleEntries()),
    ...(await busyTargets()),
  ];
}

type Samples = readonly (readonly Sample[])[];

/** One of the measured processes, and the ports that count. */
interface Side {
  readonly id: string;
  readonly what: string;
  readonly side: 'entry' | 'target';
  readonly in: (sample: Sample) => number;
  readonly out: (sample: Sample) => number;
}

function slopesOf(
  {id, what, side, ...bytes}: Side,
  samples: Samples,
): readonly Slope[] {
  const points = (of: (sample: Sample) => number) =>
    samples.map(list => pointOf(list, of));
  const perSecond = (of: (sample: Sample) => number) => (sample: Sample) =>
    of(sample) / sample[side].seconds;
  return [
    slopeOf(
      `${id}.cpu`,
      `${what}: processor time a second`,
      'ms/s',
      points(perSecond(sample => sample[side].cpuMs)),
    ),
    slopeOf(
      `${id}.in`,
      `${what}: received`,
      'KB/s',
      points(perSecond(sample => bytes.in(sample) / KB)),
    ),
    slopeOf(
      `${id}.out`,
      `${what}: sent`,
      'KB/s',
      points(perSecond(sample => bytes.out(sample) / KB)),
    ),
  ];
}

/** Heartbeats with targets that have nothing to do. */
async function idleTargets(): Promise<readonly Slope[]> {
  const all: (readonly Sample[])[] = [];
  let ports: readonly number[] = [];
  const portsAt = new Map<number, readonly number[]>();
  for (const otherTargets of TARGETS) {
    using fleet = await MeasuredFleet.start({
      peers: 0,
      otherTargets,
      target: false,
      engine: QUICK_ENGINE,
    });
    ports = fleet.ports.otherTargets;
    portsAt.set(otherTargets, ports);
    all.push(await idleSamples(fleet, otherTargets));
  }
  const side: Side = {
    id: 'entry.target.idle',
    what: 'entry, per connected idle target',
    side: 'entry',
    in: ({x, entry}) => entry.in(...portsAt.get(x)!),
    out: ({x, entry}) => entry.out(...portsAt.get(x)!),
  };
  return slopesOf(side, all);
}

/** Gossip with other entries; what is left are the ports of the platform. */
async function idlePeers(): Promise<readonly Slope[]> {
  const all: (readonly Sample[])[] = [];
  const platformAt = new Map<number, number>();
  for (const peers of PEERS) {
    using fleet = await MeasuredFleet.start({
      peers,
      otherTargets: 0,
      target: false,
      engine: QUICK_ENGINE,
    });
    platformAt.set(peers, fleet.ports.platform);
    all.push(await idleSamples(fleet, peers));
  }
  const gossip: Side = {
    id: 'entry.peer.idle',
    what: 'entry, per other entry (gossip)',
    side: 'entry',
    in: ({x, entry}) => entry.otherIn(platformAt.get(x)),
    out: ({x, entry}) => entry.otherOut(platformAt.get(x)),
  };
  const polls: Side = {
    id: 'entry.store.idle',
    what: 'entry, store traffic, per other entry',
    side: 'entry',
    in: ({x, entry}) => entry.in(platformAt.get(x)),
    out: ({x, entry}) => entry.out(platformAt.get(x)),
  };
  const [, ...store] = slopesOf(polls, all);
  return [...slopesOf(gossip, all), ...store];
}

/** A target process with several entries and nothing to do. */
async function idleEntries(): Promise<readonly Slope[]> {
  const all: (readonly Sample[])[] = [];
  const portAt = new Map<number, number | undefined>();
  for (const entries of ENTRIES) {
    using fleet = await MeasuredFleet.start({
      peers: entries - 1,
      otherTargets: 0,
      target: true,
      engine: QUICK_ENGINE,
    });
    portAt.set(entries, fleet.ports.target);
    all.push(await idleSamples(fleet, entries));
  }
  return slopesOf(
    {
      id: 'target.entry.idle',
      what: 'target process, per connected entry',
      side: 'target',
      in: ({x, target}) => target.in(portAt.get(x)),
      out: ({x, target}) => target.out(portAt.get(x)),
    },
    all,
  );
}

/**
 * Targets whose load changes all the time, with eight entries each as at the
 * planned size; the load comes from the others, so the measured entry only
 * hears of it.
 */
async function busyTargets(): Promise<readonly Slope[]> {
  const all: (readonly Sample[])[] = [];
  const portsAt = new Map<number, readonly number[]>();
  for (const otherTargets of BUSY_TARGETS) {
    using fleet = await MeasuredFleet.start({
      peers: BUSY_PEERS,
      otherTargets,
      target: false,
      engine: {stepMs: 20, maxSequences: 64},
    });
    portsAt.set(otherTargets, fleet.ports.otherTargets);
    await sleep(KEEPING_CLOCK, WARM_MS);
    const samples: Sample[] = [];
    for (let i = 0; i < REPEATS; i++) {
      const load = () => loadOverPeers(fleet, otherTargets);
      samples.push(await sampleDuring(fleet, otherTargets, load));
    }
    all.push(samples);
  }
  return slopesOf(
    {
      id: 'entry.target.busy',
      what: 'entry, per connected busy target with eight entries',
      side: 'entry',
      in: ({x, entry}) => entry.in(...portsAt.get(x)!),
      out: ({x, entry}) => entry.out(...portsAt.get(x)!),
    },
    all,
  );
}

async function loadOverPeers(
  {ports}: MeasuredFleet,
  targets: number,
): Promise<void> {
  await using sender = createApiSender({
    urls: ports.peerApis.map(port => `http://127.0.0.1:${port}`),
    key: BENCH_KEY,
    pool: BENCH_MODEL,
    promptTokens: 16,
    maxTokens: BUSY_TOKENS,
    stream: true,
  });
  const rate = targets * BUSY_RATE_PER_TARGET;
  await runLoad({
    clock: KEEPING_CLOCK,
    send: sender.send,
    arrivals: poissonArrivals(targets, rate, BUSY_S),
    drainMs: 1,
    signal: new AbortController().signal,
  });
}
