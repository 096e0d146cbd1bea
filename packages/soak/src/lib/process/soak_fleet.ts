/** The system under soak: real programs, and stand-ins behind proxies. */
import type {ChildProcess} from 'node:child_process';
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import {
  INITIAL_CONFIG,
  ServerStandIn,
  ServingProgram,
  StoreStandIn,
  type ProgramOptions,
  type ServerOptions,
  type StoreEndpoint,
} from '@oathead/platform/stand_ins';
import {FaultProxy} from '../connection/fault_proxy.js';
import {EVENTS, eventsOf, markedWord} from '../request/expected_text.js';
import {longRoutes} from '../request/long_kinds.js';
import {Disturbances} from './disturbances.js';
import type {LoadShape} from './load_shape.js';
import type {LongStop} from './long_stop_handlers.js';
import type {PoisonBout} from './poison_handlers.js';
import type {TakeUpBout} from './take_up_handlers.js';
import {addedRoute} from './added_route.js';
import {ACCOUNT, ACCOUNTS, QUOTA_BOUNDS} from './soak_accounts.js';

/** Signals that a run sends. */
export type SoakSignal = Parameters<ChildProcess['kill']>[0] & string;

/** A place for one program: it is started there again and again. */
export interface ProgramPlace {
  readonly name: string;
  readonly door: StoreEndpoint;
  readonly storeProxy: FaultProxy;
  program: ServingProgram;
  /** Whether its end is wanted: a signal of the run's ends it. */
  ending: boolean;
  paused: boolean;
}

/** A place for one server: each start has a new id. */
export interface ServerPlace {
  readonly service: string;
  softwareVersion: string;
  server: ServerStandIn;
  proxy: FaultProxy;
  id: string;
  up: boolean;
}

/** After a key was taken away nothing may run by it, in milliseconds. */
export const REVOKE_MS = 8000;
/** Time from SIGTERM to the end of a program, in seconds. */
export const GRACE_S = 8;
/** The service whose servers run items. */
export const BATCH_SERVICE = 'llm';
/** Software version of all servers at the start. */
export const FIRST_VERSION = 'v1';
const ZONES = ['hall-a', 'hall-b'] as const;
const PLAIN_ANSWER_MS = 10;
const QUEUE = 16;
const PLAIN_SERVERS = 2;
const READY_POLL_MS = 50;
/** In which all programs know the routes, in milliseconds. */
const ROUTES_KNOWN_MS = 2000;

/** All that runs. */
export class SoakFleet implements AsyncDisposable {
  readonly store = new StoreStandIn();
  readonly programs: ProgramPlace[] = [];
  readonly servers: ServerPlace[] = [];
  /** Every start of a server, for what each has seen. */
  readonly incarnations: Array<Pick<ServerPlace, 'server' | 'id' | 'service'>> =
    [];
  /** When the store accepted that a server leaves, by its id. */
  readonly leavingSince = new Map<string, number>();
  /** Routes that were added, in order. */
  readonly addedRoutes: string[] = [];
  /** The prefix of the route that callers follow: the first that was added, to
   * see whether it stays. */
  knownRoute = '/limits/';
  /** What programs wrote that have ended, by place and process. */
  readonly formerLogs = new Map<string, string>();
  /** Programs that ended by themselves, with what they wrote last. */
  readonly deaths: string[] = [];
  /** When the store accepted that a key was taken away, by key, on the time of day
   * in milliseconds. */
  readonly withdrawnAt = new Map<string, number>();
  /** When requests with a part that crashes servers were sent, on the time of day
   * in milliseconds. */
  readonly badPartTimes: Array<{readonly from: number; readonly to: number}> =
    [];
  /** Times in which one request crashed servers, and nothing else was wrong. */
  readonly poisonBouts: PoisonBout[] = [];
  /** Times in which streams were taken up after all programs were killed, and
   * nothing else was wrong. */
  readonly takeUpBouts: TakeUpBout[] = [];
  /** Whether such a time is now. */
  isLosingAllHosts = false;
  /** Stops with nothing else wrong, while callers send requests that last long. */
  readonly longStops: LongStop[] = [];
  /** Whether such stops are under way. */
  isStoppingInSeries = false;
  readonly disturbances = new Disturbances();
  /** Called when a job is accepted, before its caller does anything else. */
  onAccepted: ((by: ProgramPlace) => void) | undefined;
  /** How many callers of each flooding account send now. */
  floodingCallers = 0;
  /** Whether there are accounts besides the usual one. */
  private hasAccounts = false;
  private hasLongRoutes = false;
  /** The service of the batch route; undefined: there is no such route. */
  private batchService: string | undefined = BATCH_SERVICE;
  private readonly held: AsyncDisposable[] = [this.store];
  private keys = 1;
  private version = INITIAL_CONFIG.version;
  private starts = 0;

  /** @param load - What it has to bear. */
  constructor(private readonly load: LoadShape) {}

  /** Slots of each server. */
  get slots(): number {
    return this.load.slots;
  }

  /**
   * Starts everything and waits until all programs take callers.
   *
   * @param programs - How many programs.
   * @param engines - How many engines.
   */
  async start(programs: number, engines: number): Promise<void> {
    await this.configure();
    for (let i = 0; i < engines; i++) await this.addServer('llm');
    for (let i = 0; i < PLAIN_SERVERS; i++) await this.addServer('api');
    for (let i = 0; i < programs; i++) await this.addProgram(i);
    await Promise.all(
      this.programs.map(({program}) => program.waitUntilReady()),
    );
  }

  /** The key that callers have now. */
  get key(): string {
    return `key-${this.keys}`;
  }

  /** Takes the key away and gives out another one. */
  async rotateKey(): Promise<void> {
    const {key} = this;
    this.keys++;
    await this.configure();
    this.withdrawnAt.set(key, Date.now());
  }

  /** Adds a route to the configuration. @returns Its prefix. */
  async addRoute(): Promise<string> {
    const prefix = `/extra${this.addedRoutes.length}/`;
    this.addedRoutes.push(prefix);
    this.knownRoute = this.addedRoutes[0]!;
    await this.configure();
    return prefix;
  }

  /** Adds the accounts that flood or ask for little, once. */
  async openAccounts(): Promise<void> {
    if (this.hasAccounts) return;
    this.hasAccounts = true;
    await this.configure();
  }

  /** Adds the routes of requests that last long, once; all programs know them then. */
  async openLongRoutes(): Promise<void> {
    if (this.hasLongRoutes) return;
    this.hasLongRoutes = true;
    await this.configure();
    await sleep(SYSTEM_CLOCK, ROUTES_KNOWN_MS);
  }

  /**
   * Takes the batch route away, or has another service run its items.
   *
   * @param service - Whose servers run items; undefined: there is no route.
   * @returns Gives the route back as it was; undefined if it is changed already.
   */
  async changeBatchRoute(
    service: string | undefined,
  ): Promise<(() => Promise<void>) | undefined> {
    if (this.batchService !== BATCH_SERVICE) return undefined;
    this.batchService = service;
    await this.configure();
    return async () => {
      this.batchService = BATCH_SERVICE;
      await this.configure();
    };
  }

  /** @param place - Where a program has ended; it is started again. */
  async restart(place: ProgramPlace): Promise<void> {
    await place.program.waitForExit();
    const {pid, text} = place.program;
    this.formerLogs.set(`${place.name}-${pid}`, text);
    const options = place.program.startOptions;
    await place.program[Symbol.asyncDispose]();
    place.program = await this.launch(place.name, options);
    place.ending = false;
    place.paused = false;
    this.watch(place);
  }

  /** Resolves when all programs that run now are ready or have ended. */
  async untilReady(): Promise<void> {
    const running = this.programs.map(({program}) => program);
    for (const program of running)
      while (!program.hasExited && !(await program.isReady()))
        await sleep(SYSTEM_CLOCK, READY_POLL_MS);
  }

  /** @param place - Where the server has ended; a new one starts. */
  async renew(place: ServerPlace): Promise<void> {
    const next = await this.newServer(place.service, place.softwareVersion);
    Object.assign(place, next, {up: true});
    this.note(place);
  }

  /** Ends everything that it has started, by its id. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (const place of this.programs) {
      place.ending = true;
      place.program.signal('SIGCONT');
      await place.program[Symbol.asyncDispose]();
    }
    for (const item of this.held.reverse()) await item[Symbol.asyncDispose]();
  }

  private async configure(): Promise<void> {
    const extra = this.addedRoutes.map(addedRoute);
    const service = this.batchService;
    const usual = INITIAL_CONFIG.routes.flatMap(route => {
      const isBatch = 'kind' in route && route.kind === 'bulk';
      if (!isBatch) return [route];
      return service === undefined ? [] : [{...route, service}];
    });
    const long = this.hasLongRoutes ? longRoutes() : [];
    const routes = [...usual, ...extra, ...long];
    this.version += 3;
    const others = this.hasAccounts ? ACCOUNTS : [];
    const tenants = [
      {name: ACCOUNT, api_keys: [this.key]},
      ...others.map(({name, key, quota}) => {
        return {name, api_keys: [key], ...quota};
      }),
    ];
    const config = {...INITIAL_CONFIG, version: this.version, routes, tenants};
    await this.store.put('op', 'config', config);
  }

  private async addProgram(i: number): Promise<void> {
    const door = await this.store.openEndpoint();
    const storeProxy = await FaultProxy.before(door.address);
    this.held.push(storeProxy);
    const name = `host-${i}`;
    const program = await this.launch(name, {
      node: name,
      zone: ZONES[i % ZONES.length]!,
      storeAddress: storeProxy.address,
      graceS: GRACE_S,
      seeds: this.programs.slice(0, 3).map(place => place.program.control),
      bounds: {strict_revoke: true, revoke_ms: REVOKE_MS, ...QUOTA_BOUNDS},
    });
    const place: ProgramPlace = {
      name,
      door,
      storeProxy,
      program,
      ending: false,
      paused: false,
    };
    this.programs.push(place);
    this.watch(place);
  }

  private launch(
    node: string,
    options: ProgramOptions,
  ): Promise<ServingProgram> {
    return ServingProgram.start({...options, node});
  }

  private watch(place: ProgramPlace): void {
    const {program} = place;
    void program.waitForExit().then(code => {
      if (place.ending || place.program !== program) return;
      const last = program.text.slice(-2000);
      this.deaths.push(`${place.name} ended with ${code}: ${last}`);
    });
  }

  private async addServer(service: string): Promise<void> {
    const started = await this.newServer(service, FIRST_VERSION);
    const place: ServerPlace = {
      service,
      softwareVersion: FIRST_VERSION,
      ...started,
      up: true,
    };
    this.servers.push(place);
    this.note(place);
  }

  private note({server, id, service}: ServerPlace): void {
    this.incarnations.push({server, id, service});
  }

  private async newServer(service: string, softwareVersion: string) {
    const id = `${service}-${++this.starts}`;
    let proxy: FaultProxy | undefined;
    const options: Partial<ServerOptions> = {
      id,
      service,
      softwareVersion,
      zone: ZONES[this.starts % ZONES.length]!,
      slots: this.load.slots,
      maxQueueLength: QUEUE,
      events: EVENTS,
      eventsOf,
      eventMs: service === 'llm' ? this.load.eventMs : PLAIN_ANSWER_MS,
      eventData: (path, n) => markedWord(softwareVersion, path, n),
      listedAddress: async address => {
        proxy = await FaultProxy.before(address);
        return proxy.address;
      },
    };
    const server = new ServerStandIn(this.store, options);
    await server.start();
    this.held.push(server, proxy!);
    return {server, proxy: proxy!, id};
  }
}
