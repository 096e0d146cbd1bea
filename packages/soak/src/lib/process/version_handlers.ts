/** Faults of software versions, and of requests that servers do not bear. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import {Caller} from '@oathead/platform/stand_ins';
import type {FaultCall} from './fault_call.js';
import {FIRST_VERSION, type ServerPlace, type SoakFleet} from './soak_fleet.js';

/** A part of prompts that crashes servers. */
export const BAD_PART = 'bad';
const SECOND_VERSION = 'v2';
const BATCH_SERVICE = 'llm';
/** One server in so many changes its version, drawn for each. */
const RELEASE_SHARE = 2;
/** Between the replacements of a release, in milliseconds. */
const RELEASE_GAP_MS = 200;
/** How long requests with the part are sent, and between two of them, in
 * milliseconds. */
const BAD_PART_MS = 9000;
const BAD_PART_PAUSE_MS = 150;
/** The same at a slow pace: longer than any crash is of the moment. */
const SLOW_PART_REQUESTS = 4;
const SLOW_PART_PAUSE_MS = 33_000;
/** How often the caller of one of them sends it. */
const SLOW_PART_SENDS = 2;
/** A server that such a request has ended is back after this, in milliseconds. */
const DOWNTIME_MS = 1000;

type Replace = (call: FaultCall, place: ServerPlace) => Promise<void>;

/**
 * Several servers are replaced by ones of another software version, each while
 * the others serve.
 *
 * @param replace - Replaces one server.
 * @returns The handler.
 */
export function releaseServers(replace: Replace) {
  return async (call: FaultCall): Promise<void> => {
    const {fleet, random} = call;
    const places = fleet.servers.filter(
      ({service, up}) => service === BATCH_SERVICE && up,
    );
    const struck = places.filter(() => random.int(RELEASE_SHARE) === 0);
    const replaced: Array<Promise<void>> = [];
    for (const place of struck) {
      if (!place.up) continue;
      const isFirst = place.softwareVersion === FIRST_VERSION;
      place.softwareVersion = isFirst ? SECOND_VERSION : FIRST_VERSION;
      replaced.push(replace(call, place));
      await sleep(SYSTEM_CLOCK, RELEASE_GAP_MS);
    }
    await Promise.all(replaced);
  };
}

/** Requests with one part in their prompts, no two alike, end each server that
 * begins to answer them. Only if nothing else is wrong, which takes no time from
 * the load, is it checked when they are held back. */
export function sendBadPart(call: FaultCall): Promise<void> {
  return whileBad(call, async () => {
    const {fleet} = call;
    const until = Date.now() + BAD_PART_MS;
    const sent: Array<Promise<unknown>> = [];
    for (let i = 0; Date.now() < until; i++) {
      sent.push(sendOne(fleet, `/flags/bad${i}`, i));
      await sleep(SYSTEM_CLOCK, BAD_PART_PAUSE_MS);
    }
    return sent;
  });
}

/** The same with requests that seldom come, each of which ends several servers: it
 * may be repeated, and its caller sends it once more. */
export function sendBadPartSlowly(call: FaultCall): Promise<void> {
  return whileBad(call, async () => {
    const {fleet} = call;
    for (let i = 0; i < SLOW_PART_REQUESTS; i++) {
      if (i > 0) await sleep(SYSTEM_CLOCK, SLOW_PART_PAUSE_MS);
      for (let send = 0; send < SLOW_PART_SENDS; send++)
        await sendOne(fleet, `/notes/bad${i}`, i + send);
    }
    return [];
  });
}

/** @param send - Sends the requests; returns those that it has not waited for. */
async function whileBad(
  {fleet, forMs}: FaultCall,
  send: () => Promise<ReadonlyArray<Promise<unknown>>>,
): Promise<void> {
  const struck = fleet.servers.filter(({service}) => service === BATCH_SERVICE);
  for (const {server} of struck) {
    server.crashDowntimeMs = DOWNTIME_MS;
    server.crashParts.add(BAD_PART);
  }
  const from = Date.now();
  const sent = await send();
  if (forMs === 0) fleet.badPartTimes.push({from, to: Date.now()});
  await Promise.all(sent);
  for (const {server} of struck) server.crashParts.clear();
}

async function sendOne(
  fleet: SoakFleet,
  path: string,
  turn: number,
): Promise<void> {
  const place = fleet.programs[turn % fleet.programs.length]!;
  const caller = new Caller(place.program.front, fleet.key);
  const parts = `a:100,${BAD_PART}:50,own${path}:250`;
  const headers = {'x-prompt-prefix': parts};
  // How such a request ends is of no concern; what it ends is.
  await caller.stream(path, headers).catch(() => undefined);
}
