/** What each kind of fault does, and how it is undone. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import {
  DEFAULT_LATE_WRITES,
  type ServerFault,
  type StoreFault,
} from '@oathead/platform/stand_ins';
import type {ProxyMode} from '../connection/fault_proxy.js';
import {failRuns, mixAnswers} from './answer_handlers.js';
import {crashTogether} from './crash_handlers.js';
import type {FaultCall, FaultHandler} from './fault_call.js';
import {
  hearNothing,
  killAfterAcceptance,
  killMixed,
  killOwnerUnheard,
  killUnderLateWrites,
} from './lost_job_handlers.js';
import {stopInSeries} from './long_stop_handlers.js';
import {floodByAccount, unlikeSpeeds} from './overload_handlers.js';
import {sendPoison, sendPoisonBesideBadPart} from './poison_handlers.js';
import type {ProgramPlace, ServerPlace} from './soak_fleet.js';
import type {FaultKind} from './soak_plan.js';
import {TAKE_UP_HANDLERS} from './take_up_handlers.js';
import {
  releaseServers,
  sendBadPart,
  sendBadPartSlowly,
} from './version_handlers.js';

/** A server that leaves serves so long after the store knows, in ms. */
const DRAIN_MS = 3000;
const LINK_MODES: readonly ProxyMode[] = [
  'delay',
  'drop-requests',
  'drop-answers',
  'cut',
];
const SERVER_FAULTS: readonly ServerFault[] = [
  'extra-answer',
  'cut',
  'wrong-id',
  'unsealed',
  'answer-lost',
  'doubled-head',
];
const STORE_AWAY: readonly StoreFault[] = ['down', 'busy', 'silent', 'reset'];
const SLOW_STORE_MS = 200;
const STORE_HALVES: readonly StoreFault[] = ['reads-down', 'writes-down'];
const LATE_SHARES = [0.3, 1] as const;
const LATE_MS = {least: 1000, most: 6000} as const;
/** Longer than a host waits for a route before it gives its items up. */
const LONG_MS = 6000;
/** How long the batch route is away, in milliseconds: less than hosts wait. */
const ROUTE_AWAY_MS = {least: 500, most: 1500} as const;
/** Programs that do not see a change. */
const UNSEEING = 2;

/** The handlers by kind. */
export const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  'program-kill': killOne,
  'programs-kill-all': killAll,
  'program-pause': pauseProgram,
  'program-stop': stopProgram,
  'program-hup': hangUp,
  'store-away': storeAway,
  'store-refuses-one': refuseOne,
  'store-lost-answers': loseStoreAnswers,
  'store-late-writes': writeLate,
  'store-slow': slowStore,
  'store-history': loseHistory,
  'store-link': spoilStoreLink,
  'server-link': spoilServerLink,
  'server-crash': crashServer,
  'server-replace': replaceServer,
  'server-answers': spoilAnswers,
  'server-answer-mixes': mixAnswers,
  'connections-reset': resetConnections,
  'connections-silent': silenceConnections,
  'config-change': changeConfig,
  'program-long-pause': pauseLong,
  'route-away': takeRouteAway,
  'route-away-unseen': takeRouteAwayUnseen,
  'route-move': moveRoute,
  'server-failures': failRuns,
  'store-half': refuseHalf,
  'store-later-writes': writeLater,
  'store-stale-feeds': holdFeeds,
  'account-flood': floodByAccount,
  'server-speeds': unlikeSpeeds,
  'store-deaf-feeds': hearNothing,
  'owner-kill-deaf-feeds': killOwnerUnheard,
  'programs-kill-late-writes': killUnderLateWrites,
  'programs-kill-accepted': killAfterAcceptance,
  'programs-kill-mixed': killMixed,
  'server-release': releaseServers(replacePlace),
  'bad-part': sendBadPart,
  'bad-part-slow': sendBadPartSlowly,
  'poison-request': sendPoison,
  'poison-beside-bad-part': sendPoisonBesideBadPart,
  'servers-crash-together': crashTogether,
  ...TAKE_UP_HANDLERS,
  'program-stops-long': stopInSeries,
};

function killOne(call: FaultCall): Promise<void> {
  return kill(call, [pick(call, call.fleet.programs)]);
}

function killAll(call: FaultCall): Promise<void> {
  return kill(call, call.fleet.programs);
}

async function hangUp(call: FaultCall): Promise<void> {
  pick(call, call.fleet.programs).program.signal('SIGHUP');
}

function storeAway(call: FaultCall): Promise<void> {
  return allDoors(call, STORE_AWAY[call.random.int(STORE_AWAY.length)]!);
}

function loseStoreAnswers(call: FaultCall): Promise<void> {
  return allDoors(call, 'lost-answers');
}

function writeLate(call: FaultCall): Promise<void> {
  return allDoors(call, 'late-writes');
}

async function loseHistory({fleet}: FaultCall): Promise<void> {
  fleet.store.rows.discardHistory();
}

function spoilStoreLink(call: FaultCall): Promise<void> {
  return link(call, pick(call, call.fleet.programs).storeProxy);
}

function spoilServerLink(call: FaultCall): Promise<void> {
  return link(call, pick(call, call.fleet.servers).proxy);
}

async function resetConnections(call: FaultCall): Promise<void> {
  proxyOf(call).reset();
}

async function silenceConnections(call: FaultCall): Promise<void> {
  proxyOf(call).silence();
}

async function changeConfig({fleet}: FaultCall): Promise<void> {
  await fleet.addRoute();
}

async function kill(
  {fleet, forMs}: FaultCall,
  places: readonly ProgramPlace[],
): Promise<void> {
  const struck = places.filter(({ending}) => !ending);
  for (const place of struck) {
    place.ending = true;
    place.program.signal('SIGKILL');
  }
  await sleep(SYSTEM_CLOCK, forMs);
  await Promise.all(struck.map(place => fleet.restart(place)));
}

async function pauseProgram(call: FaultCall): Promise<void> {
  const place = pick(call, call.fleet.programs);
  const {program} = place;
  if (place.ending || place.paused) return;
  place.paused = true;
  program.signal('SIGSTOP');
  await sleep(SYSTEM_CLOCK, call.forMs);
  program.signal('SIGCONT');
  place.paused = false;
}

async function stopProgram(call: FaultCall): Promise<void> {
  const place = pick(call, call.fleet.programs);
  if (place.ending) return;
  place.ending = true;
  place.program.signal('SIGTERM');
  await call.fleet.restart(place);
}

async function allDoors(
  {fleet, forMs}: FaultCall,
  fault: StoreFault,
): Promise<void> {
  fleet.store.failAll(fault);
  await sleep(SYSTEM_CLOCK, forMs);
  fleet.store.failAll('none');
}

async function refuseOne(call: FaultCall): Promise<void> {
  const {door} = pick(call, call.fleet.programs);
  door.fault = STORE_AWAY[call.random.int(STORE_AWAY.length)]!;
  await sleep(SYSTEM_CLOCK, call.forMs);
  door.fault = 'none';
}

async function slowStore({fleet, forMs}: FaultCall): Promise<void> {
  for (const {door} of fleet.programs) door.delayMs = SLOW_STORE_MS;
  await sleep(SYSTEM_CLOCK, forMs);
  for (const {door} of fleet.programs) door.delayMs = 0;
}

async function link(
  {random, forMs}: FaultCall,
  proxy: {mode: ProxyMode},
): Promise<void> {
  proxy.mode = LINK_MODES[random.int(LINK_MODES.length)]!;
  await sleep(SYSTEM_CLOCK, forMs);
  proxy.mode = 'pass';
}

async function crashServer(call: FaultCall): Promise<void> {
  const place = upServer(call);
  if (!place) return;
  place.up = false;
  const {server} = place;
  await server.crash();
  await sleep(SYSTEM_CLOCK, call.forMs);
  await server.unlist();
  await call.fleet.renew(place);
}

/** The new one starts first; the old one says that it leaves, serves on for a
 * while, and is gone. */
async function replaceServer(call: FaultCall): Promise<void> {
  const place = upServer(call);
  if (place) await replacePlace(call, place);
}

async function replacePlace(
  call: FaultCall,
  place: ServerPlace,
): Promise<void> {
  const {server, id} = place;
  await server.list('draining');
  call.fleet.leavingSince.set(id, Date.now());
  await call.fleet.renew(place);
  await sleep(SYSTEM_CLOCK, DRAIN_MS + call.forMs);
  await server.unlist();
  await server.crash();
}

async function spoilAnswers(call: FaultCall): Promise<void> {
  const place = upServer(call);
  if (!place) return;
  const {server} = place;
  server.fault = SERVER_FAULTS[call.random.int(SERVER_FAULTS.length)]!;
  await sleep(SYSTEM_CLOCK, call.forMs);
  server.fault = 'none';
}

function refuseHalf(call: FaultCall): Promise<void> {
  return allDoors(call, STORE_HALVES[call.random.int(STORE_HALVES.length)]!);
}

async function writeLater(call: FaultCall): Promise<void> {
  const {fleet, random} = call;
  const share = LATE_SHARES[random.int(LATE_SHARES.length)]!;
  const delayMs = LATE_MS.least + random.int(LATE_MS.most - LATE_MS.least);
  for (const {door} of fleet.programs) door.lateWrites = {share, delayMs};
  await allDoors(call, 'late-writes');
  for (const {door} of fleet.programs) door.lateWrites = DEFAULT_LATE_WRITES;
}

/** What has changed meanwhile is in no feed: hosts have to read it anew. */
async function holdFeeds({fleet, forMs}: FaultCall): Promise<void> {
  fleet.store.failAll('stale-feeds');
  await sleep(SYSTEM_CLOCK, forMs);
  fleet.store.rows.discardHistory();
  fleet.store.failAll('none');
}

function pauseLong(call: FaultCall): Promise<void> {
  return pauseProgram({...call, forMs: longMs(call)});
}

function longMs({forMs}: FaultCall): number {
  return LONG_MS + forMs / 2;
}

async function moveRoute({fleet, forMs}: FaultCall): Promise<void> {
  const giveBack = await fleet.changeBatchRoute('api');
  await sleep(SYSTEM_CLOCK, forMs);
  await giveBack?.();
}

async function takeRouteAway({fleet, random}: FaultCall): Promise<void> {
  const giveBack = await fleet.changeBatchRoute(undefined);
  const {least, most} = ROUTE_AWAY_MS;
  await sleep(SYSTEM_CLOCK, least + random.int(most - least));
  await giveBack?.();
}

/** Hosts know that the route has gone, and cannot see that it is back. */
async function takeRouteAwayUnseen(call: FaultCall): Promise<void> {
  const {random} = call;
  const away = takeRouteAway(call);
  await sleep(SYSTEM_CLOCK, ROUTE_AWAY_MS.least);
  const long = {...call, forMs: longMs(call)};
  const unseen =
    random.int(2) === 0
      ? [storeAway(long)]
      : Array.from({length: UNSEEING}, () => pauseProgram(long));
  await Promise.all([away, ...unseen]);
}

/** One server of each service stays, so that there is something to go on with. */
function upServer(call: FaultCall): ServerPlace | undefined {
  const {servers} = call.fleet;
  const place = pick(call, servers);
  const others = servers.filter(
    other => other !== place && other.service === place.service && other.up,
  );
  return place.up && others.length > 0 ? place : undefined;
}

function proxyOf(call: FaultCall) {
  const {programs, servers} = call.fleet;
  const proxies = [
    ...programs.map(({storeProxy}) => storeProxy),
    ...servers.map(({proxy}) => proxy),
  ];
  return pick(call, proxies);
}

function pick<T>({random}: FaultCall, items: readonly T[]): T {
  return items[random.int(items.length)]!;
}
