/** A host that runs items on targets whose responses the test decides. */
import {NO_COUNTERS, SYSTEM_CLOCK} from '@oathead/core';
import {TargetSuspensions, type Route} from '@oathead/gateway';
import {trace} from '@opentelemetry/api';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import type {ItemStarterContext} from '../../lib/process/item_starter.js';
import {newItemWork} from '../../lib/process/item_work.js';
import {RecordedEvents} from './recorded_events.js';

/** The only route. */
export const ROUTE = {
  name: 'r',
  services: [{service: 's', weight: 1}],
} as unknown as Route;

/** ID of the only target. */
export const TARGET_ID = 't';
const TARGET = {
  id: TARGET_ID,
  serverId: 't',
  service: 's',
  softwareVersion: 'v1',
};
const NOTHING = {[Symbol.dispose]: () => {}};

/** @returns An item that waits. */
export function newCandidate(id: string): ItemCandidate {
  const item = {id, path: '/', headers: {}, body: Buffer.of(), tokens: 1};
  return {
    job: {head: {id: 'j', hostName: 'h'}, adoptedAtMs: 0},
    work: newItemWork(0, item, 0, undefined),
    estimate: {urgency: 'relaxed'},
  } as unknown as ItemCandidate;
}

/** The host; its target takes each request and sends nothing by itself. */
export class ItemRunFixture {
  nowMs = 0;
  /** Number of searches for a target. */
  searches = 0;
  /** What preparing a request to the target throws. */
  failure: Error | undefined;
  /** What opening a connection to the target throws. */
  connectFailure: Error | undefined;
  /** Keys of the blocked parts of each prompt. */
  blocked: readonly string[] = [];
  readonly suspensions: TargetSuspensions;
  readonly recorded = new RecordedEvents();
  readonly context: ItemStarterContext;

  constructor() {
    const clock = {
      ...SYSTEM_CLOCK,
      now: () => this.nowMs,
      after: () => NOTHING,
    };
    this.suspensions = new TargetSuspensions(clock, this.recorded);
    this.context = {
      clock,
      log: this.recorded,
      counters: NO_COUNTERS,
      tracer: trace.getTracer('test'),
      protocol: {
        readRequest: () => ({sharedParts: ['shared']}),
        requestHeaders: () => this.headers(),
      },
      promptSuspects: {blockedParts: () => this.blocked},
      directory: {onRestarted: () => NOTHING},
      loads: {begin: () => NOTHING, totalAt: () => ({online: 0, batch: 0})},
      overload: {speeds: {slownessAt: () => 1}},
      health: {recordFailure: () => {}},
      suspensions: this.suspensions,
      pool: {acquire: () => this.connect()},
      search: {
        search: async () => {
          this.searches++;
          return {kind: 'placed', target: TARGET};
        },
      },
      waitingReport: {countPlacement: () => {}},
      durations: {add: () => {}, addRun: () => {}},
      isPaused: () => false,
    } as unknown as ItemStarterContext;
  }

  private headers() {
    if (this.failure) throw this.failure;
    return {};
  }

  private connect() {
    if (this.connectFailure) throw this.connectFailure;
    return {
      client: {dispatch: () => true},
      carried: {add: () => true},
      bytesRead: 0,
      ...NOTHING,
    };
  }
}
