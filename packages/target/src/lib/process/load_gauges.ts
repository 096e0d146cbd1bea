/** The load of a target as gauges. */
import type {LoadState} from './load_board.js';

const GAUGES: ReadonlyMap<string, (load: LoadState) => number> = new Map([
  ['online_running', load => load.onlineRunning],
  ['online_queued', load => load.onlineQueued],
  ['online_capacity', load => load.onlineCapacity],
  ['batch_running', load => load.batchRunning],
  ['batch_queued', load => load.batchQueued],
  ['batch_room', load => load.batchRoom],
  ['step_ms', load => load.stepMs],
  ['cfg_revision', load => load.cfgRevision],
  ['engine_down', load => Number(load.engineDown)],
  ['leaving', load => Number(load.leaving)],
]);

/**
 * Shows the load wherever metrics are read.
 *
 * @param metrics - Where gauges are shown.
 * @param read - The load as of now.
 */
export function showLoad(
  metrics: {gauge(name: string, read: () => number): void},
  read: () => LoadState,
): void {
  for (const [name, valueOf] of GAUGES) {
    metrics.gauge(`target_${name}`, () => valueOf(read()));
  }
}
