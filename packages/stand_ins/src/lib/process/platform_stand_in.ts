/**
 * The platform as an HTTP server: the four services in memory, with fault
 * switches and rates. What it keeps is gone when it stops.
 */
import {SYSTEM_CLOCK, type Clock, type Outcome} from '@oathead/core';
import {
  MemoryHosts,
  MemoryPlatform,
  MemoryWeights,
  type Host,
  type Json,
  type Platform,
  type StoreError,
  type WeightInfo,
} from '@oathead/stores';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
  readJson,
  sendJson,
  StandInServer,
  type Routes,
} from '../connection/stand_in_server.js';
import {faultyPlatform} from './faulty_platform.js';
import {StoreFaults, type FaultRule, type StoreRates} from './store_faults.js';

/** What the platform stand-in holds at first, and what it can bear. */
export interface PlatformStandInOptions extends StoreRates {
  readonly weights: readonly WeightInfo[];
  /** Loads that the weight store can bear at once. */
  readonly concurrentLoads: number;
  readonly hosts: readonly Host[];
  readonly clock: Clock;
}

/** Defaults: the rates that the users' stores can bear. */
export const DEFAULT_PLATFORM_STAND_IN: PlatformStandInOptions = {
  writesPerSecond: 400,
  readsPerSecond: 2000,
  weights: [],
  concurrentLoads: 4,
  hosts: [],
  clock: SYSTEM_CLOCK,
};

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_FOUND = 404;
const ERROR_STATUS: Readonly<Record<StoreError['kind'], number>> = {
  conflict: 409,
  throttled: 429,
  unavailable: 503,
};

const JSON_SCHEMA = z.custom<Json>(value => value !== undefined);
const READ_SCHEMA = z.object({keys: z.array(z.string())});
const LIST_SCHEMA = z.object({
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive().optional(),
});
const WRITE_SCHEMA = z.object({
  checks: z.array(z.object({key: z.string(), version: z.number().int()})),
  writes: z.array(
    z.discriminatedUnion('kind', [
      z.object({
        kind: z.literal('put'),
        key: z.string(),
        value: JSON_SCHEMA,
      }),
      z.object({kind: z.literal('delete'), key: z.string()}),
    ]),
  ),
});
const DELAY = z.number().nonnegative();
const FAULT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('down')}),
  z.object({kind: z.literal('slow'), delayMs: DELAY}),
  z.object({kind: z.literal('answer-lost'), afterMs: DELAY.optional()}),
  z.object({kind: z.literal('request-lost'), afterMs: DELAY.optional()}),
  z.object({kind: z.literal('lands-late'), delayMs: DELAY}),
  z.object({kind: z.literal('throttled'), retryAfterMs: DELAY}),
]);
const RULES_SCHEMA = z.object({
  rules: z.array(
    z.object({
      fault: FAULT_SCHEMA,
      store: z.enum(['table', 'objects', 'weights', 'hosts']).optional(),
      writes: z.boolean().optional(),
      keyPrefix: z.string().optional(),
      from: z.number().int().positive().optional(),
      times: z.number().int().positive().optional(),
    }),
  ),
});
const HOSTS_SCHEMA = z.object({
  hosts: z.array(
    z.object({
      id: z.string(),
      role: z.enum(['entry', 'target']),
      address: z.string(),
      dataCentre: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

type RuleJson = z.infer<typeof RULES_SCHEMA>['rules'][number];

/** The platform's services behind HTTP. */
export class PlatformStandIn implements AsyncDisposable {
  /** The fault switches, also reachable at `POST /v1/admin/faults`. */
  readonly faults: StoreFaults;
  /** The host list. */
  readonly hosts: MemoryHosts;
  /** The server; its connections can be broken or made silent. */
  readonly server: StandInServer;
  private readonly platform: Platform;

  /** @param options - What differs from {@link DEFAULT_PLATFORM_STAND_IN}. */
  constructor(options: Partial<PlatformStandInOptions> = {}) {
    const cfg = {...DEFAULT_PLATFORM_STAND_IN, ...options};
    this.faults = new StoreFaults(cfg.clock, cfg);
    this.hosts = new MemoryHosts(cfg.hosts);
    const weights = new MemoryWeights(cfg.weights, cfg.concurrentLoads);
    const memory = new MemoryPlatform(weights, this.hosts);
    this.platform = faultyPlatform(memory, this.faults);
    this.server = new StandInServer({
      ...this.tableRoutes(),
      ...this.objectRoutes(),
      ...this.otherRoutes(),
      ...this.adminRoutes(),
    });
  }

  /**
   * @param port - Where to listen; 0 for any free port.
   * @returns The port.
   */
  listen(port = 0): Promise<number> {
    return this.server.listen(port);
  }

  /** Stops the server; what it held is gone. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.server[Symbol.asyncDispose]();
  }

  private tableRoutes(): Routes {
    const {table} = this.platform;
    return {
      ['POST /v1/table/read']: async (req, res) => {
        const {keys} = readJson(req, READ_SCHEMA);
        send(res, await table.read(keys), rows => ({
          rows: rows.map(row => row ?? null),
        }));
      },
      ['POST /v1/table/list']: async (req, res) => {
        const {prefix, ...options} = readJson(req, LIST_SCHEMA);
        send(res, await table.list(prefix, options), rows => ({rows}));
      },
      ['POST /v1/table/write']: async (req, res) => {
        const transaction = readJson(req, WRITE_SCHEMA);
        send(res, await table.write(transaction), committed => committed);
      },
    };
  }

  private objectRoutes(): Routes {
    const {objects} = this.platform;
    return {
      ['PUT /v1/objects/*']: async (req, res) => {
        send(res, await objects.put(req.key, req.body), () => ({}));
      },
      ['DELETE /v1/objects/*']: async (req, res) => {
        send(res, await objects.delete(req.key), () => ({}));
      },
      ['GET /v1/objects/*']: async (req, res) => {
        const result = await objects.get(req.key);
        if (!result.ok) sendError(res, result.err);
        else if (!result.value) sendJson(res, STATUS_NOT_FOUND, {});
        else res.writeHead(STATUS_OK).end(result.value);
      },
    };
  }

  private otherRoutes(): Routes {
    const {weights, hosts} = this.platform;
    return {
      ['GET /v1/weights']: async (req, res) => {
        send(res, await weights.concurrentLoads(), concurrentLoads => ({
          concurrentLoads,
        }));
      },
      ['GET /v1/weights/*']: async (req, res) => {
        send(res, await weights.describe(req.key), weight => ({
          weight: weight ?? null,
        }));
      },
      ['GET /v1/hosts']: async (req, res) => {
        send(res, await hosts.hosts(), list => ({hosts: list}));
      },
    };
  }

  private adminRoutes(): Routes {
    return {
      ['POST /v1/admin/faults']: (req, res) => {
        const {rules} = readJson(req, RULES_SCHEMA);
        this.faults.clear();
        for (const rule of rules) this.faults.add(toRule(rule));
        sendJson(res, STATUS_OK, {rules: rules.length});
      },
      ['GET /v1/admin/counts']: (req, res) => {
        sendJson(res, STATUS_OK, this.faults.counts);
      },
      ['PUT /v1/admin/hosts']: (req, res) => {
        this.hosts.set(readJson(req, HOSTS_SCHEMA).hosts);
        res.writeHead(STATUS_NO_CONTENT).end();
      },
      ['POST /v1/admin/silence']: (req, res) => {
        this.server.silenceAfter(res);
      },
    };
  }
}

function toRule({store, writes, keyPrefix, ...rest}: RuleJson): FaultRule {
  return {
    ...rest,
    matches: call =>
      (store === undefined || call.store === store) &&
      (writes === undefined || call.writes === writes) &&
      (keyPrefix === undefined ||
        call.keys.some(key => key.startsWith(keyPrefix))),
  };
}

function send<T>(
  res: ServerResponse,
  result: Outcome<T, StoreError>,
  toBody: (value: T) => unknown,
): void {
  if (result.ok) sendJson(res, STATUS_OK, toBody(result.value));
  else sendError(res, result.err);
}

/** A caller that is not to know gets no answer at all. */
function sendError(res: ServerResponse, err: StoreError): void {
  const hidden = err.kind === 'unavailable' && err.applied === 'unknown';
  if (hidden) res.destroy();
  else sendJson(res, ERROR_STATUS[err.kind], err);
}
