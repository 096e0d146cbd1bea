/** A fleet that serves: joined, declared, and all its targets ready. */
import type {VirtualClock} from '@oathead/stand-ins';
import {send} from '../request/caller.js';
import type {ScriptRequest} from '../request/caller.js';
import {shareOwners} from '../request/home_of.js';
import {ProofFleet} from './proof_fleet.js';
import type {ProofFleetOptions} from './proof_fleet.js';
import {CALLER, KEYS, POOLS, sha256} from './proof_settings.js';

const JOIN_MS = 1_500;
const READY_CHECK_MS = 250;
const READY_CHECKS = 80;

/**
 * @param options - How it is set up.
 * @returns The fleet, once every entry serves every pool.
 */
export async function startDeclaredFleet(
  options: ProofFleetOptions,
): Promise<ProofFleet> {
  const fleet = new ProofFleet(options);
  const {clock} = fleet;
  await clock.advance(JOIN_MS);
  for (const req of declarations(fleet)) await declare(fleet, clock, req);
  const pools = poolsOf(options);
  const ready = async () =>
    fleet.entries.every(({entry}) => pools.every(p => entry.serves(p))) &&
    (await isBalanced(fleet));
  for (let i = 0; i < READY_CHECKS; i++) {
    if (await ready()) return fleet;
    await clock.advance(READY_CHECK_MS);
  }
  throw new Error('the fleet is not ready in time');
}

/** @returns Whether every entry has shares. */
async function isBalanced(fleet: ProofFleet): Promise<boolean> {
  const owners = await shareOwners(fleet);
  return fleet.entries.every(({id}) => owners.includes(id));
}

function poolsOf(options: ProofFleetOptions): readonly string[] {
  return [
    ...(options.modelTargets > 0 ? [POOLS.model] : []),
    ...(options.serviceTargets > 0 ? [POOLS.service] : []),
  ];
}

function declarations(fleet: ProofFleet): readonly ScriptRequest[] {
  const {model, service} = POOLS;
  const {options, targets} = fleet;
  const models = [
    put('models', model, {type: 'model'}),
    put('versions', 'v1', {model, weights: `${model}-v1`}),
    put('models', model, {type: 'model', version: 'v1'}),
  ];
  return [
    ...(options.modelTargets > 0 ? models : []),
    ...(options.serviceTargets > 0
      ? [put('models', service, {type: 'service'})]
      : []),
    ...targets.map(({id, address, backend}) =>
      put('targets', id, {
        pools: [backend.service ? service : model],
        address,
        dataCentre: 'hall-a',
      }),
    ),
    put('callers', CALLER, {keyHashes: [sha256(KEYS.caller)]}),
  ];
}

/** @returns The request that declares a resource. */
export function put(
  kind: string,
  name: string,
  spec: object,
  headers: Readonly<Record<string, string>> = {},
): ScriptRequest {
  return {
    method: 'PUT',
    path: `/v1/resources/${kind}/${name}`,
    headers,
    body: JSON.stringify({spec}),
    as: 'operator',
  };
}

async function declare(
  fleet: ProofFleet,
  clock: VirtualClock,
  req: ScriptRequest,
): Promise<void> {
  const reply = await clock.until(send(fleet, fleet.first, req));
  if (reply.status !== 200) throw new Error(`${req.path}: ${reply.text}`);
}
