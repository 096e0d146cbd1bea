/** Faults in which several servers crash at once, again and again. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import type {FaultCall} from './fault_call.js';
import {BATCH_SERVICE, type ServerPlace} from './soak_fleet.js';

/** One of so many servers crashes in each wave. */
const CRASH_SHARE = 4;
const MOST_WAVES = 5;
const WAVE_GAP_MS = 400;

/** Waves of crashes: what ran on one server meets the next one that crashes. */
export async function crashTogether(call: FaultCall): Promise<void> {
  const waves = 1 + call.random.int(MOST_WAVES);
  const renewed: Array<Promise<void>> = [];
  for (let wave = 0; wave < waves; wave++) {
    for (const place of struckBy(call)) renewed.push(crash(call, place));
    await sleep(SYSTEM_CLOCK, WAVE_GAP_MS);
  }
  await Promise.all(renewed);
}

/** At least one server stays, so that there is something to go on with. */
function struckBy({fleet, random}: FaultCall): readonly ServerPlace[] {
  const up = fleet.servers.filter(
    ({service, up}) => service === BATCH_SERVICE && up,
  );
  return up.slice(1).filter(() => random.int(CRASH_SHARE) === 0);
}

async function crash(
  {fleet, forMs}: FaultCall,
  place: ServerPlace,
): Promise<void> {
  place.up = false;
  const {server} = place;
  await server.crash();
  await sleep(SYSTEM_CLOCK, forMs);
  await server.unlist();
  await fleet.renew(place);
}
