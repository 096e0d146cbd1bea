/** Faults by one request that crashes each server that runs it. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import {Caller} from '@oathead/platform/stand_ins';
import {EVENTS} from '../request/expected_text.js';
import type {FaultCall} from './fault_call.js';
import {BATCH_SERVICE, type SoakFleet} from './soak_fleet.js';
import {sendBadPart} from './version_handlers.js';

/** A sound request beside the poison one. */
export interface SoundRequest {
  readonly sentAt: number;
  /** Undefined: its response broke off. */
  readonly status: number | undefined;
}

/** A time in which a poison request was sent, and nothing else was wrong. */
export interface PoisonBout {
  readonly path: string;
  readonly from: number;
  readonly to: number;
  /** Requests with all shared parts of its prompt. */
  readonly sound: readonly SoundRequest[];
}

/** The first part, which nearly all requests have, and one of other requests. */
const FIRST_PART = 'a:100';
const OTHER_PART = 'other:50';
const ROUTES = ['flags', 'notes'] as const;
/** How long copies of the request are sent, and between two of them, in
 * milliseconds. */
const POISON_MS = 12_000;
const COPY_PAUSE_MS = 150;
/** Between two sound requests with the first part, in milliseconds. */
const SOUND_PAUSE_MS = 70;
/**
 * Between two with all its parts, in milliseconds: seldom enough for the parts
 * to be suspected, and often enough to clear them again and again.
 */
const NEIGHBOUR_PAUSE_MS = 3500;
/** Streams with all its parts that begin before the first crash. */
const LONG_STREAMS = 4;
/** How long a long sound stream lasts, in milliseconds. */
const LONG_STREAM_MS = 3600;
/** A server that the request has ended is back after this, in milliseconds. */
const DOWNTIME_MS = 1500;

/** One request is sent again and again to all programs and crashes each server
 * that runs it. Sound requests with its parts come beside it, long streams among
 * them. Only if nothing else is wrong is it checked when it is held back. */
export async function sendPoison(call: FaultCall): Promise<void> {
  const bout = await playBout(call);
  if (call.forMs === 0) call.fleet.poisonBouts.push(bout);
}

/** The same, while requests with a bad part come, too. Which sound ones are served
 * then is not checked: targets are seldom up. */
export async function sendPoisonBesideBadPart(call: FaultCall): Promise<void> {
  const [bout] = await Promise.all([playBout(call), sendBadPart(call)]);
  if (call.forMs === 0) call.fleet.poisonBouts.push({...bout, sound: []});
}

async function playBout({fleet, random}: FaultCall): Promise<PoisonBout> {
  const id = random.int(Number.MAX_SAFE_INTEGER);
  const path = `/${ROUTES[random.int(ROUTES.length)]!}/poison${id}`;
  const sharedParts = `${FIRST_PART},shared${id}:50`;
  const longPath = (i: number) => `/notes/long${id}-${i}`;
  const struck = fleet.servers.filter(one => one.service === BATCH_SERVICE);
  for (const {server} of struck) {
    server.crashDowntimeMs = DOWNTIME_MS;
    server.crashPaths.add(path);
    for (let i = 0; i < LONG_STREAMS; i++)
      server.slowPaths.set(longPath(i), LONG_STREAM_MS / EVENTS);
  }
  const from = Date.now();
  const long = [...Array(LONG_STREAMS).keys()].map(i =>
    sendOne(fleet, {path: longPath(i), parts: sharedParts}, i),
  );
  const [sound] = await Promise.all([
    sendRepeatedly(fleet, NEIGHBOUR_PAUSE_MS, i => ({
      path: `/notes/beside${id}-${i}`,
      parts: sharedParts,
    })),
    sendRepeatedly(fleet, SOUND_PAUSE_MS, i => ({
      path: `/notes/other${id}-${i}`,
      parts: `${FIRST_PART},${OTHER_PART}`,
    })),
    sendRepeatedly(fleet, COPY_PAUSE_MS, () => ({path, parts: sharedParts})),
  ]);
  await Promise.all(long);
  const to = Date.now();
  for (const {server} of struck) {
    server.crashPaths.delete(path);
    server.slowPaths.clear();
  }
  return {path, from, to, sound};
}

/** What is asked for. */
interface Asked {
  readonly path: string;
  /** The parts of its prompt that other requests have, too. */
  readonly parts: string;
}

/** Sends requests to all programs in turn. */
async function sendRepeatedly(
  fleet: SoakFleet,
  pauseMs: number,
  asked: (i: number) => Asked,
): Promise<readonly SoundRequest[]> {
  const until = Date.now() + POISON_MS;
  const sent: Array<Promise<SoundRequest>> = [];
  for (let i = 0; Date.now() < until; i++) {
    await sleep(SYSTEM_CLOCK, pauseMs);
    sent.push(sendOne(fleet, asked(i), i));
  }
  return Promise.all(sent);
}

async function sendOne(
  fleet: SoakFleet,
  {path, parts}: Asked,
  i: number,
): Promise<SoundRequest> {
  const {front} = fleet.programs[i % fleet.programs.length]!.program;
  const headers = {'x-prompt-prefix': `${parts},own:250`};
  const sentAt = Date.now();
  const status = await new Caller(front, fleet.key).stream(path, headers).then(
    response => response.status,
    () => undefined,
  );
  return {sentAt, status};
}
