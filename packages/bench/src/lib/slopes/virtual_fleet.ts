/**
 * Entries and target processes in virtual time: the real code of both daemons
 * above the sockets, on a platform that counts.
 */
import {createHash} from 'node:crypto';
import {
  TargetAdmission,
  LinkLostError,
  NO_COUNTERS,
  failure,
  hash32,
  seededRandom,
} from '@oathead/core';
import type {Random} from '@oathead/core';
import {BATCH_DEFAULTS} from '@oathead/batch';
import {ENTRY_SETTINGS, Entry} from '@oathead/entry';
import type {EntryCoreSettings, PeerLink} from '@oathead/entry';
import {MEMBERSHIP_DEFAULTS} from '@oathead/membership';
import type {Peer} from '@oathead/membership';
import {Metrics} from '@oathead/observe';
import type {Platform} from '@oathead/stores';
import {FakeEngine, VirtualClock} from '@oathead/stand-ins';
import {TARGET_SETTINGS, TargetService, serviceSettings} from '@oathead/target';
import type {ReportingLink} from '@oathead/wire';
import {trace} from '@opentelemetry/api';

/** Key of the operator and only caller of these fleets. */
export const BENCH_KEY = 'bench-key';
/** The model that these fleets serve. */
export const BENCH_MODEL = 'review-llm';

const DATA_CENTRE = 'hall-a';
const TRACER = trace.getTracer('slopes');
/** So fast that requests do not wait for the engine. */
const ENGINE = {stepMs: 2, stepMsPerSequence: 0.01, maxSequences: 256} as const;

/** A fleet in virtual time. */
export class VirtualFleet {
  readonly clock = new VirtualClock();
  readonly entries = new Map<string, Entry>();
  /** Entries whose calls to the platform fail. */
  readonly cutOff = new Set<string>();
  private readonly targets = new Map<string, TargetService>();

  /** @param platform - What the entries share. */
  constructor(private readonly platform: Platform) {}

  /**
   * Starts an entry.
   *
   * @param entryId - Its id.
   * @param overrides - Settings that differ from the defaults.
   * @returns The entry; it joins as time goes on.
   */
  startEntry(
    entryId: string,
    overrides: Partial<EntryCoreSettings> = {},
  ): Entry {
    const entry = new Entry({
      clock: this.clock,
      random: this.random(entryId),
      counters: NO_COUNTERS,
      tracer: TRACER,
      platform: cuttable(this.platform, () => this.cutOff.has(entryId)),
      linkTo: targetId => this.linkTo(targetId),
      peerLinkTo: peer => this.peerLink(peer),
      settings: {...coreSettings(entryId), ...overrides},
    });
    this.entries.set(entryId, entry);
    void entry.start();
    return entry;
  }

  /**
   * Starts many entries, and waits until they share the work among them.
   *
   * @param count - How many.
   */
  async startEntries(count: number): Promise<void> {
    for (let i = 0; i < count; i++) this.startEntry(`entry-${i}`);
    await this.clock.advance(SETTLE_MS);
  }

  /** @param entryId - An entry that dies at once. */
  kill(entryId: string): void {
    this.entries.get(entryId)?.[Symbol.dispose]();
    this.entries.delete(entryId);
  }

  /**
   * Starts a target process with an engine.
   *
   * @param targetId - Its id.
   */
  startTarget(targetId: string): void {
    const url = 'http://127.0.0.1:1';
    const settings = TARGET_SETTINGS.parse({
      targetId,
      dataCentre: DATA_CENTRE,
      listen: {host: '127.0.0.1', port: 0},
      http: {host: '127.0.0.1', port: 0},
      engine: {url, fenceCheck: 'unfenced'},
    });
    const served = {versions: [{model: BENCH_MODEL, version: 'v1'}]};
    const service = new TargetService({
      clock: this.clock,
      random: this.random(targetId),
      metrics: new Metrics(),
      tracer: TRACER,
      createAdmission: () => new TargetAdmission(),
      backends: {
        engine: new FakeEngine(this.clock, {served, model: ENGINE}),
        services: new Map(),
      },
      settings: serviceSettings(settings),
    });
    service.start();
    this.targets.set(targetId, service);
  }

  /**
   * Asks an entry over its API, and lets time go on until it has answered.
   *
   * @param entryId - The entry.
   * @param method - Method of the request.
   * @param path - Its path.
   * @param json - Its body.
   * @param headers - Further headers.
   * @returns Status of the answer, once it has been read.
   */
  async call(
    entryId: string,
    method: string,
    path: string,
    json: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    return this.clock.until(this.ask(entryId, method, path, json, headers));
  }

  /** As {@link call}, without moving the clock. */
  async ask(
    entryId: string,
    method: string,
    path: string,
    json: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    const res = await this.entries.get(entryId)!.handle({
      method,
      path,
      query: {},
      headers: {
        authorization: `Bearer ${BENCH_KEY}`,
        'content-type': 'application/json',
        ...headers,
      },
      body: JSON.stringify(json),
      signal: new AbortController().signal,
    });
    if (typeof res.body === 'string') return res.status;
    for await (const part of res.body) void part;
    return res.status;
  }

  private random(name: string): Random {
    return seededRandom(hash32(name));
  }

  private linkTo(targetId: string): ReportingLink & Disposable {
    const target = this.targets.get(targetId);
    const link = target ?? SILENT_LINK;
    return Object.assign(Object.create(link) as ReportingLink, {
      [Symbol.dispose]: () => {},
    });
  }

  private peerLink({entryId}: Peer): PeerLink {
    const peer = () => {
      const entry = this.entries.get(entryId);
      if (!entry) throw new LinkLostError(`${entryId} is gone`);
      return entry;
    };
    return {
      serve: (call, signal) => peer().serve(call, signal),
      configSince: async since => peer().configSince(since),
      findOutcome: async key => peer().findOutcome(key),
      reportUse: async reports => peer().reportUse(reports),
      [Symbol.dispose]: () => {},
    };
  }
}

const SETTLE_MS = 60_000;

/** A target that nobody runs: it is never heard of. */
const SILENT_LINK = {
  heartbeat: () => Promise.reject(new LinkLostError('silent')),
  reports: () => ({
    [Symbol.asyncIterator]: () => ({
      next: () => new Promise<never>(() => {}),
    }),
  }),
  release: () => Promise.reject(new LinkLostError('silent')),
} as unknown as ReportingLink;

/** A platform whose table and objects fail while they are cut off. */
function cuttable(platform: Platform, isCut: () => boolean): Platform {
  const guarded = <T extends object>(store: T): T =>
    new Proxy(store, {
      get(target, name) {
        const method = Reflect.get(target, name) as (
          ...args: readonly unknown[]
        ) => Promise<unknown>;
        return (...args: readonly unknown[]) =>
          isCut() ? Promise.resolve(CUT) : method.apply(target, [...args]);
      },
    });
  return {
    ...platform,
    table: guarded(platform.table),
    objects: guarded(platform.objects),
  };
}

const CUT = failure({
  kind: 'unavailable',
  applied: 'no',
  message: 'cut off',
} as const);

function coreSettings(entryId: string): EntryCoreSettings {
  const settings = ENTRY_SETTINGS.parse({
    entryId,
    dataCentre: DATA_CENTRE,
    listen: {port: 0},
    peers: {port: 0},
    platform: {kind: 'memory'},
    operatorKeyHashes: [sha256(BENCH_KEY)],
  });
  const {fleet, answers, requests, limits, operatorKeyHashes} = settings;
  return {
    membership: {
      ...MEMBERSHIP_DEFAULTS,
      entryId,
      dataCentre: DATA_CENTRE,
      address: '10.0.0.1:7410',
    },
    fleet,
    answers,
    batch: BATCH_DEFAULTS,
    operatorKeyHashes,
    defaultDeadlineMs: requests.defaultDeadlineMs,
    maxDeadlineMs: requests.maxDeadlineMs,
    batchItemTimeoutMs: requests.batchItemTimeoutMs,
    maxJobBytes: limits.maxJobBytes,
  };
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
