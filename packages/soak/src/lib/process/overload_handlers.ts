/** Faults that bring about an overload, without anything being broken. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import type {FaultCall} from './fault_call.js';

/** Callers of each account that floods. */
const MOST_FLOODING = 2;
/** What a server's usual speed is multiplied by. */
const SPEED_FACTORS = [0.25, 0.5, 1, 2] as const;

/** Callers of some accounts send many times as much as others for a while. */
export async function floodByAccount(call: FaultCall): Promise<void> {
  const {fleet, random, forMs} = call;
  await fleet.openAccounts();
  const callers = 1 + random.int(MOST_FLOODING);
  fleet.floodingCallers += callers;
  await sleep(SYSTEM_CLOCK, forMs);
  fleet.floodingCallers -= callers;
}

/** Servers of one service differ in speed for a while. */
export async function unlikeSpeeds(call: FaultCall): Promise<void> {
  const {fleet, random, forMs} = call;
  const servers = fleet.servers.map(({server}) => server);
  for (const server of servers)
    server.speed = SPEED_FACTORS[random.int(SPEED_FACTORS.length)]!;
  await sleep(SYSTEM_CLOCK, forMs);
  for (const server of servers) server.speed = 1;
}
