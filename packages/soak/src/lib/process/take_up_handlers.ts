/**
 * Faults after which no host remembers where streams began: all programs are
 * killed in the same moment, while servers of a second software version join or
 * those of the first leave.
 */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import type {ServerStandIn} from '@oathead/platform/stand_ins';
import {eventsOf} from '../request/expected_text.js';
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
  /** Which streams are taken up; those that last some seconds by default. */
  readonly streams?: StreamCourse;
}

/** Streams that break off when their programs are killed. */
interface StreamCourse {
  readonly kind: TakenUpKind;
  /** How long one lasts, in milliseconds: most run when they break off. */
  readonly lastsMs: number;
  /** From the last change of the servers before the kill, in milliseconds. */
  readonly killedAfterMs: number;
}

/** Kinds of streams that callers take up. */
type TakenUpKind = 'notes' | 'chapters';

const SHORT: StreamCourse = {kind: 'notes', lastsMs: 3000, killedAfterMs: 0};
/** Longer than callers usually wait, and than a planned stop. */
const LONG: StreamCourse = {
  kind: 'chapters',
  lastsMs: 20_000,
  killedAfterMs: 11_500,
};

/** A time in which streams were taken up, and nothing else was wrong. */
export interface TakeUpBout {
  readonly killedAt: number;
  readonly to: number;
  readonly kind: TakenUpKind;
  /** The key of its callers. */
  readonly key: string;
  /** Software versions of which two servers served all the while. */
  readonly serving: ReadonlySet<string>;
}

/** A server that is replaced. */
type FormerServer = Pick<ServerPlace, 'server' | 'id' | 'softwareVersion'>;

/** Streams that begin before the second version joins, and as many after. */
const STREAMS_EACH = 12;
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
    'programs-kill-versions-serve': loseAllHosts({
      joining: 'before-kill',
      leaving: 'after-take-up',
    }),
    'programs-kill-version-left': loseAllHosts({
      joining: 'before-kill',
      leaving: 'before-kill',
    }),
    'programs-kill-version-leaves': loseAllHosts({
      joining: 'before-kill',
      leaving: 'while-away',
    }),
    'programs-kill-version-joins': loseAllHosts({
      joining: 'while-away',
      leaving: 'after-take-up',
    }),
    'programs-kill-version-changes': loseAllHosts({
      joining: 'while-away',
      leaving: 'while-away',
    }),
    'programs-kill-long-streams': loseAllHosts({
      joining: 'before-kill',
      leaving: 'after-take-up',
      streams: LONG,
    }),
    'programs-kill-long-version-left': loseAllHosts({
      joining: 'before-kill',
      leaving: 'before-kill',
      streams: LONG,
    }),
  };

function loseAllHosts(course: VersionCourse): FaultHandler {
  return async call => {
    const {fleet, forMs} = call;
    // Another one at the same time would end its programs or its servers.
    if (fleet.isLosingAllHosts) return;
    fleet.isLosingAllHosts = true;
    const bout = await playBout(call, course);
    fleet.isLosingAllHosts = false;
    if (forMs === 0) fleet.takeUpBouts.push(bout);
  };
}

async function playBout(
  call: FaultCall,
  {joining, leaving, streams = SHORT}: VersionCourse,
): Promise<TakeUpBout> {
  const {fleet, random} = call;
  const {kind, lastsMs, killedAfterMs} = streams;
  if (kind === 'chapters') await fleet.openLongRoutes();
  const places = fleet.servers.filter(
    ({service, up}) => service === BATCH_SERVICE && up,
  );
  const former = places.map(({server, id, softwareVersion}) => {
    return {server, id, softwareVersion};
  });
  // No server has had it: each start adds one.
  const version = `v${fleet.incarnations.length}`;
  const paths = [...Array(2 * STREAMS_EACH).keys()].map(
    i => `/${kind}/again-${version}-${i}`,
  );
  for (const {server} of former) slowDown(server, paths, lastsMs);
  const join = () => joinAs(fleet, places, version, {paths, lastsMs});
  const leave = () => leaveList(fleet, former);

  beginStreams(call, kind, paths.slice(0, STREAMS_EACH));
  if (joining === 'before-kill') await join();
  await sleep(SYSTEM_CLOCK, LISTED_MS);
  beginStreams(call, kind, paths.slice(STREAMS_EACH));
  await sleep(SYSTEM_CLOCK, BEGUN_MS);
  if (leaving === 'before-kill') await leave();
  await sleep(SYSTEM_CLOCK, killedAfterMs + random.int(MAX_BEFORE_KILL_MS));
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
  return {killedAt, to, kind, key: fleet.key, serving: versionsOfTwo(served)};
}

function slowDown(
  server: ServerStandIn,
  paths: readonly string[],
  lastsMs: number,
): void {
  for (const path of paths)
    server.slowPaths.set(path, lastsMs / eventsOf(path));
}

function beginStreams(
  {fleet, online}: FaultCall,
  kind: TakenUpKind,
  paths: readonly string[],
): void {
  const {programs} = fleet;
  for (const [i, path] of paths.entries()) {
    const place = programs[i % programs.length]!;
    void online.once(place, kind, fleet.key, path);
  }
}

async function joinAs(
  fleet: SoakFleet,
  places: readonly ServerPlace[],
  softwareVersion: string,
  {
    paths,
    lastsMs,
  }: {readonly paths: readonly string[]; readonly lastsMs: number},
): Promise<void> {
  await Promise.all(
    places.map(async place => {
      place.softwareVersion = softwareVersion;
      await fleet.renew(place);
      slowDown(place.server, paths, lastsMs);
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
