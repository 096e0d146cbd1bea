/** In-memory platform. */
import {MemoryHosts} from './memory_hosts.js';
import {MemoryObjects} from './memory_objects.js';
import {MemoryTable} from './memory_table.js';
import {MemoryWeights} from './memory_weights.js';
import type {Platform} from './platform.js';

/** A {@link Platform} without persistence, whose calls never fail. */
export class MemoryPlatform implements Platform {
  readonly table = new MemoryTable();
  readonly objects = new MemoryObjects();

  /**
   * @param weights - The weight store.
   * @param hosts - The host list.
   */
  constructor(
    readonly weights = new MemoryWeights(),
    readonly hosts = new MemoryHosts(),
  ) {}
}
