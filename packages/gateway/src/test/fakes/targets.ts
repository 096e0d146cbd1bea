import type {Target} from '../../lib/connection/target.js';

/** A server without a start time, which has a new ID after each start. */
const BASE_TARGET: Target = {
  id: 't',
  serverId: 't',
  startedAtMs: undefined,
  service: 's',
  softwareVersion: 'v1',
  address: '',
  dataCentre: 'a',
  slots: 8,
  leaving: false,
};

/** @returns A target with the given ID. */
export function newTarget(id: string, overrides: Partial<Target> = {}): Target {
  return {...BASE_TARGET, id, serverId: id, ...overrides};
}

/**
 * @returns One incarnation of a server that keeps its server ID after a
 *     restart.
 */
export function newIncarnation(
  serverId: string,
  startedAtMs: number,
  overrides: Partial<Target> = {},
): Target {
  const id = `${serverId}@${startedAtMs}`;
  return {...BASE_TARGET, id, serverId, startedAtMs, ...overrides};
}
