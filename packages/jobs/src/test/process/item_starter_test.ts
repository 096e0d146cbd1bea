import {NO_COUNTERS, SYSTEM_CLOCK} from '@oathead/core';
import type {Route} from '@oathead/gateway';
import {trace} from '@opentelemetry/api';
import test from 'ava';
import type {ItemCandidate} from '../../lib/process/item_candidate.js';
import {
  ItemStarter,
  type ItemStarterContext,
} from '../../lib/process/item_starter.js';
import {newItemWork} from '../../lib/process/item_work.js';
import {RecordedEvents} from '../fakes/recorded_events.js';

const ROUTE = {
  name: 'r',
  services: [{service: 's', weight: 1}],
} as unknown as Route;
const TARGET = {id: 't', serverId: 't', service: 's', softwareVersion: 'v1'};
const NOTHING = {[Symbol.dispose]: () => {}};

function newCandidate(id: string): ItemCandidate {
  const item = {id, path: '/', headers: {}, body: Buffer.of(), tokens: 1};
  return {
    job: {head: {id: 'j', hostName: 'h'}, adoptedAtMs: 0},
    work: newItemWork(0, item, 0, undefined),
    estimate: {urgency: 'relaxed'},
  } as unknown as ItemCandidate;
}

/** A host whose only target never responds, and that holds one part blocked. */
class StarterFixture {
  /** Number of searches for a target. */
  searches = 0;
  /** What taking a connection throws. */
  failure: Error | undefined;
  readonly recorded = new RecordedEvents();
  readonly starter: ItemStarter;

  constructor() {
    const connection = {
      client: {dispatch: () => true},
      carried: {add: () => true},
      bytesRead: 0,
      ...NOTHING,
    };
    this.starter = new ItemStarter({
      clock: {...SYSTEM_CLOCK, after: () => NOTHING},
      log: this.recorded,
      counters: NO_COUNTERS,
      tracer: trace.getTracer('test'),
      protocol: {
        readRequest: () => ({sharedParts: ['shared']}),
        requestHeaders: () => ({}),
      },
      promptSuspects: {blockedParts: () => ['s shared']},
      directory: {onlyVersion: () => 'v1', onRestarted: () => NOTHING},
      loads: {
        begin: () => NOTHING,
        totalAt: () => ({online: 0, batch: 0}),
      },
      overload: {speeds: {slownessAt: () => 1}},
      pool: {
        acquire: () => {
          if (this.failure) throw this.failure;
          return connection;
        },
      },
      search: {
        search: async () => {
          this.searches++;
          return {kind: 'placed', target: TARGET};
        },
      },
      waitingReport: {countPlacement: () => {}},
      isPaused: () => false,
    } as unknown as ItemStarterContext);
  }
}

// Guards against items that take free slots from others without using them.
test('an item behind the trial of a blocked part looks for no target', async t => {
  const host = new StarterFixture();
  const [first, second] = [newCandidate('first'), newCandidate('second')];
  t.is(await host.starter.start(first, ROUTE), 'placed');
  t.is(first.work.stage.kind, 'running');
  t.is(await host.starter.start(second, ROUTE), 'selective');
  t.like(second.work.stage, {kind: 'waiting', isBehindTrial: true});
  t.is(host.searches, 1);
});

// Guards against a blocked part whose items are never run again on a host, and
// against a host that ends because one item cannot be started.
test('an item that fails to start leaves the trial to others', async t => {
  const host = new StarterFixture();
  const [first, second] = [newCandidate('first'), newCandidate('second')];
  host.failure = new Error('no connection');
  await t.notThrowsAsync(host.starter.start(first, ROUTE));
  t.is(first.work.stage.kind, 'waiting');
  t.like(host.recorded.events.at(-1), {
    name: 'item-start-failed',
    item: 'first',
  });
  host.failure = undefined;
  t.is(await host.starter.start(second, ROUTE), 'placed');
});
