/** Caches and stores of one configuration, as many as a test needs. */
import {NO_COUNTERS, seededRandom} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import {HEAD_ROW} from '@oathead/membership';
import {MemoryTable} from '@oathead/stores';
import {FaultyTable, StoreFaults, VirtualClock} from '@oathead/stand-ins';
import {ConfigCache} from '../../lib/process/config_cache.js';
import type {ConfigPeers} from '../../lib/process/config_gossip.js';
import {ConfigStore} from '../../lib/process/config_store.js';
import {FakeHead} from './fake_head.js';
import {HookedTable} from './hooked_table.js';

const NO_PEERS: ConfigPeers = {ids: () => [], ask: async () => undefined};

export function configFleet(logLength?: number) {
  const clock = new VirtualClock();
  const faults = new StoreFaults(clock);
  const table = new HookedTable(new FaultyTable(new MemoryTable(), faults));
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
    faults,
    store: new ConfigStore(common),
    newCache(peers = NO_PEERS) {
      const head = new FakeHead(table);
      return {head, cache: new ConfigCache({...common, head, peers})};
    },
    /** Keys of the rows below a prefix. */
    async keys(prefix: string): Promise<readonly string[]> {
      const rows = await table.list(prefix);
      return rows.ok ? rows.value.map(({key}) => key) : [];
    },
    /** @returns A disposable that ends the outage. */
    goDown: () => faults.add({fault: {kind: 'down'}}),
    loseOneAnswer: () =>
      faults.add({
        fault: {kind: 'answer-lost'},
        matches: ({writes}) => writes,
        times: 1,
      }),
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
