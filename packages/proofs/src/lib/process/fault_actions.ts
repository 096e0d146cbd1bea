/** What faults do to the fleet. */
import {sleep} from '@oathead/core';
import type {Refusal} from '@oathead/core';
import {put} from './declared_fleet.js';
import type {Strike} from './fault.js';
import type {EntryProcess, TargetProcess} from './processes.js';
import type {ProofFleet} from './proof_fleet.js';
import {POOLS, TAKE_OVER_MS} from './proof_settings.js';
import {refusalOf, send} from '../request/caller.js';
import type {Reply} from '../request/caller.js';
import {broken} from '../request/verdict.js';

const RESTART_MS = 1_500;
const GRACE_MS = 15_000;
/** Past the lease of a paused holder, its margin and the watching. */
export const PAUSE_MS = TAKE_OVER_MS + 2_000;
const CONVERGED_MS = 5_000;

/** A process ends at once, and its host lives on. */
export function killEntry(strike: Strike, entry: EntryProcess): void {
  strike.damage.entryLost = true;
  entry.host.kill();
}

/** A target process ends at once; it is started anew, beside its engine. */
export function killTarget(strike: Strike, target: TargetProcess): void {
  strike.damage.targetLost = true;
  target.host.kill();
  strike.later(RESTART_MS, () => {
    strike.fleet.restartTarget(target.id);
  });
}

/** An engine breaks all its streams and is back a while later. */
export function crashEngine(strike: Strike, target: TargetProcess): void {
  strike.damage.targetLost = true;
  const {engine, service} = target.backend;
  engine?.crash(RESTART_MS);
  if (!service) return;
  service.setFaults({fault: 'loses-answer'});
  strike.later(RESTART_MS, () => service.setFaults({fault: 'none'}));
}

/** A target's host is gone without a word, and never comes back. */
export function loseTargetHost(strike: Strike, target: TargetProcess): void {
  strike.damage.targetLost = true;
  strike.fleet.network.lose(target.host);
  target.host.kill();
}

/** Every connection that is open now passes nothing on; new ones work. */
export function silenceConnections(fleet: ProofFleet): void {
  for (const {host} of [...fleet.entries, ...fleet.targets]) {
    for (const connection of fleet.network.between(host.name)) {
      connection.silent = true;
    }
  }
}

/** The process is stopped in its tracks past its lease, and then goes on. */
export function pausePastLease(strike: Strike, entry: EntryProcess): void {
  strike.damage.entryLost = true;
  entry.host.pause();
  strike.later(PAUSE_MS, () => entry.host.resume());
}

/** An entry is told to stop; callers with open connections get answers. */
export function stopEntry(strike: Strike, entry: EntryProcess): void {
  strike.damage.plannedStop = true;
  entry.host.enter(() => {
    entry.stopping = true;
    strike.run(entry.entry.stop(GRACE_MS).then(() => entry.host.kill()));
  });
}

/** A target process is told to stop. */
export function stopTarget(strike: Strike, target: TargetProcess): void {
  strike.damage.plannedStop = true;
  const {fleet} = strike;
  target.host.enter(() => {
    fleet.observer.leavingSince.set(target.id, fleet.clock.now());
    const drained = target.service.drain(GRACE_MS).then(() => {
      target.host.kill();
    });
    strike.run(drained);
  });
}

/** The store refuses everything for a while. */
export function storeDown(strike: Strike, forMs: number): void {
  const rule = strike.fleet.faults.add({fault: {kind: 'down'}});
  strike.later(forMs, () => rule[Symbol.dispose]());
}

/** Two operators change one resource, each from what both have read. */
export async function raceOperators(strike: Strike): Promise<void> {
  const {fleet} = strike;
  const name = fleet.options.modelTargets > 0 ? POOLS.model : POOLS.service;
  const get = {method: 'GET', path: `/v1/resources/models/${name}`} as const;
  const as = 'operator' as const;
  const before = await send(fleet, fleet.first, {...get, as});
  const known = JSON.parse(before.text) as Declared;
  const change = (maxOnline: number) =>
    put(
      'models',
      name,
      {...known.spec, maxOnline},
      {
        'if-match': String(known.resourceVersion),
      },
    );
  const [one, two] = await Promise.all([
    send(fleet, fleet.entries[0]!, change(41)),
    send(fleet, fleet.entries[1]!, change(42)),
  ]);
  const won = [one, two].filter(({status}) => status === 200);
  if (won.length !== 1) {
    const seen = [one, two].map(kindOf).join(' and ');
    strike.verdicts.push(broken('configuration reverted', `race: ${seen}`));
    return;
  }
  const wanted = won[0] === one ? 41 : 42;
  await sleep(fleet.clock, CONVERGED_MS);
  for (const entry of fleet.entries) {
    const reply = await send(fleet, entry, {...get, as});
    const {spec} = JSON.parse(reply.text) as Declared;
    if (spec['maxOnline'] === wanted) continue;
    const detail = `${entry.id} has ${String(spec['maxOnline'])}, not ${wanted}`;
    strike.verdicts.push(broken('configuration reverted', detail));
  }
}

interface Declared {
  readonly spec: Readonly<Record<string, unknown>>;
  readonly resourceVersion: number;
}

function kindOf(reply: Reply): string {
  const refusal: Refusal | undefined = refusalOf(reply);
  return refusal?.kind ?? String(reply.status ?? reply.end);
}

const CRASH_SENDS = 4;
/** Deaths by one input: as one of many, and alone. */
const MAX_DEATHS = 2;

/** Another caller sends an input that crashes engines, again and again. */
export async function sendCrashingInput(strike: Strike): Promise<void> {
  const {fleet} = strike;
  strike.damage.targetLost = true;
  const body = JSON.stringify({
    model: POOLS.model,
    prompt: 'item-crash [[crash]]',
    max_tokens: 32,
  });
  const req = {method: 'POST', path: '/v1/completions', body};
  for (let n = 0; n < CRASH_SENDS; n++) {
    await send(fleet, fleet.entries[n % fleet.entries.length]!, req);
    await sleep(fleet.clock, RESTART_MS * 2);
  }
  if (fleet.crashes <= MAX_DEATHS) return;
  const detail = `engines died ${fleet.crashes} times of one input`;
  strike.verdicts.push(broken('crashed again', detail));
}
