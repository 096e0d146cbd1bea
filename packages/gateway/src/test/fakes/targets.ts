import type {Target} from '../../lib/connection/target.js';

/** A server of an older kind: a new id at each start. */
const PLAIN: Target = {
  id: 't',
  serverId: 't',
  startedAtMs: undefined,
  service: 's',
  address: '',
  dataCentre: 'a',
  slots: 8,
  leaving: false,
};

/** @returns A target with an id of its own. */
export function targetOf(id: string, rest: Partial<Target> = {}): Target {
  return {...PLAIN, id, serverId: id, ...rest};
}

/** @returns One run of a server that keeps its id when it starts again. */
export function runOf(
  serverId: string,
  startedAtMs: number,
  rest: Partial<Target> = {},
): Target {
  const id = `${serverId}@${startedAtMs}`;
  return {...PLAIN, id, serverId, startedAtMs, ...rest};
}
