/**
 * Faults after which no host remembers where streams began: all programs are
 * killed in the same moment, while servers of a second software version join or
 * those of the first leave.
 */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import type {ServerStandIn} from '@oathead/platform/stand_ins';
import {EVENTS} from '../request/expected_text.js';
import type {FaultCall, FaultHandler} from './fault_call.js';
import type {TakeUpFaultKind} from './soak_plan.js';
import {BATCH_SERVICE, type ServerPlace, type SoakFleet} from './soak_fleet.js';

/** When servers of the second version join. */
type Joining = 'before-kill' | 'while-away';

/** When those of the first leave. */
type Leaving = 'before-kill' | 'while-away' | 'after-take-up';

/** When which servers serve. */
interface VersionCourse {
  readonly joining: Joining;
  readonly leaving: Leaving;
}

/** A time in which streams were taken up, and nothing else was wrong. */
export interface TakeUpBout {
  readonly killedAt: number;
  readonly to: number;
  /** The key of its callers. */
  readonly key: string;
  /** Software versions of which two servers served all the while. */
  readonly serving: ReadonlySet<string>;
}

/** A server that is replaced. */
type FormerServer = Pick<ServerPlace, 'server' | 'id' | 'softwareVersion'>;

/** Streams that begin before the second version joins, and as many after. */
const STREAMS_EACH = 12;
/** How long one lasts, in milliseconds: most run when their programs are killed. */
const STREAM_MS = 3000;
/** In which programs have read a change of the server list, in milliseconds. */
const LISTED_MS = 600;
/** In which each stream has brought an event, in milliseconds. */
const BEGUN_MS = 400;
/** From the last change of the servers to the kill, in milliseconds. */
const MAX_BEFORE_KILL_MS = 700;
/** How long programs are away before they start again, in milliseconds. */
const AWAY_MS = {least: 500, most: 1200} as const;
/** From the kill: no caller takes a stream up any more, in milliseconds. */
const TAKE_UP_MS = 5000;
/** In which programs have sent the last take-ups on, in milliseconds. */
const SENT_ON_MS = 1500;
const MIN_SERVING = 2;

/** The handlers by kind. */
export const TAKE_UP_HANDLERS: Readonly<Record<TakeUpFaultKind, FaultHandler>> =
  {
    'programs-kill-versions-serve': loseAllHosts(
      'before-kill',
      'after-take-up',
    ),
    'programs-kill-version-left': loseAllHosts('before-kill', 'before-kill'),
    'programs-kill-version-leaves': loseAllHosts('before-kill', 'while-away'),
    'programs-kill-version-joins': loseAllHosts('while-away', 'after-take-up'),
    'programs-kill-version-changes': loseAllHosts('while-away', 'while-away'),
  };

function loseAllHosts(joining: Joining, leaving: Leaving): FaultHandler {
  return async call => {
    const {fleet, forMs} = call;
    // Another one at the same time would end its programs or its servers.
    if (fleet.isLosingAllHosts) return;
    fleet.isLosingAllHosts = true;
    const bout = await playBout(call, {joining, leaving});
    fleet.isLosingAllHosts = false;
    if (forMs === 0) fleet.takeUpBouts.push(bout);
  };
}

async function playBout(
  call: FaultCall,
  {joining, leaving}: VersionCourse,
): Promise<TakeUpBout> {
  const {fleet, random} = call;
  const places = fleet.servers.filter(
    ({service, up}) => service === BATCH_SERVICE && up,
  );
  const former = places.map(({server, id, softwareVersion}) => {
    return {server, id, softwareVersion};
  });
  // No server has had it: each start adds one.
  const version = `v${fleet.incarnations.length}`;
  const paths = [...Array(2 * STREAMS_EACH).keys()].map(
    i => `/notes/again-${version}-${i}`,
  );
  for (const {server} of former) slowDown(server, paths);
  const join = () => joinAs(fleet, places, version, paths);
  const leave = () => leaveList(fleet, former);

  beginStreams(call, paths.slice(0, STREAMS_EACH));
  if (joining === 'before-kill') await join();
  await sleep(SYSTEM_CLOCK, LISTED_MS);
  beginStreams(call, paths.slice(STREAMS_EACH));
  await sleep(SYSTEM_CLOCK, BEGUN_MS);
  if (leaving === 'before-kill') await leave();
  await sleep(SYSTEM_CLOCK, random.int(MAX_BEFORE_KILL_MS));
  const killedAt = Date.now();
  const over = sleep(SYSTEM_CLOCK, TAKE_UP_MS);
  await killAll(call, async () => {
    if (joining === 'while-away') await join();
    if (leaving === 'while-away') await leave();
  });
  await over;
  const to = Date.now();
  // A server that left now would be missed by what was sent before.
  await sleep(SYSTEM_CLOCK, SENT_ON_MS);
  if (leaving === 'after-take-up') await leave();
  await Promise.all(former.map(({server}) => server.crash()));

  const served = [
    ...(leaving === 'after-take-up' ? former : []),
    ...(joining === 'before-kill' ? places : []),
  ];
  return {killedAt, to, key: fleet.key, serving: versionsOfTwo(served)};
}

function slowDown(server: ServerStandIn, paths: readonly string[]): void {
  for (const path of paths) server.slowPaths.set(path, STREAM_MS / EVENTS);
}

function beginStreams(
  {fleet, online}: FaultCall,
  paths: readonly string[],
): void {
  const {programs} = fleet;
  for (const [i, path] of paths.entries()) {
    const place = programs[i % programs.length]!;
    void online.once(place, 'notes', fleet.key, path);
  }
}

async function joinAs(
  fleet: SoakFleet,
  places: readonly ServerPlace[],
  softwareVersion: string,
  paths: readonly string[],
): Promise<void> {
  await Promise.all(
    places.map(async place => {
      place.softwareVersion = softwareVersion;
      await fleet.renew(place);
      slowDown(place.server, paths);
    }),
  );
}

async function leaveList(
  fleet: SoakFleet,
  former: readonly FormerServer[],
): Promise<void> {
  await Promise.all(
    former.map(async ({server, id}) => {
      await server.list('draining');
      fleet.leavingSince.set(id, Date.now());
      await server.unlist();
    }),
  );
}

/** Kills all programs, and starts them when `whileAway` is done. */
async function killAll(
  {fleet, random}: FaultCall,
  whileAway: () => Promise<void>,
): Promise<void> {
  const struck = fleet.programs.filter(({ending}) => !ending);
  for (const place of struck) {
    place.ending = true;
    place.program.signal('SIGKILL');
  }
  const {least, most} = AWAY_MS;
  const awayMs = least + random.int(most - least);
  await Promise.all([sleep(SYSTEM_CLOCK, awayMs), whileAway()]);
  await Promise.all(struck.map(place => fleet.restart(place)));
}

function versionsOfTwo(
  servers: ReadonlyArray<Pick<ServerPlace, 'softwareVersion'>>,
): ReadonlySet<string> {
  const versions = servers.map(({softwareVersion}) => softwareVersion);
  return new Set(
    versions.filter(version => {
      return versions.filter(one => one === version).length >= MIN_SERVING;
    }),
  );
}
