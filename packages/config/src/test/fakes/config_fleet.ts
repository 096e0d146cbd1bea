/** Caches and stores of one configuration, as many as a test needs. */
import {NO_COUNTERS, seededRandom} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import {ConfigCache} from '../../lib/process/config_cache.js';
import type {ConfigPeers} from '../../lib/process/config_gossip.js';
import {ConfigStore} from '../../lib/process/config_store.js';
import {FakeHead, HEAD_ROW} from './fake_head.js';
import {FakeTable} from './fake_table.js';
import {virtualClock} from './virtual_clock.js';

const NO_PEERS: ConfigPeers = {ids: () => [], ask: async () => undefined};

export function configFleet(logLength?: number) {
  const table = new FakeTable();
  const clock = virtualClock();
  const common = {
    store: table,
    headRow: HEAD_ROW,
    clock,
    random: seededRandom(1),
    counters: NO_COUNTERS,
    logLength,
  };
  return {
    table,
    clock,
    store: new ConfigStore(common),
    newCache(peers = NO_PEERS) {
      const head = new FakeHead(table);
      return {head, cache: new ConfigCache({...common, head, peers})};
    },
  };
}

export function valueOf<T>(outcome: Outcome<T, Refusal>): T {
  if (!outcome.ok) throw new Error(JSON.stringify(outcome.err));
  return outcome.value;
}

export function refusalOf(outcome: Outcome<unknown, Refusal>): Refusal {
  if (outcome.ok) throw new Error('was not refused');
  return outcome.err;
}
