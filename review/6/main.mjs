/**
 * Streams that have run for over ten seconds when their host is killed are not
 * gone on with, though servers of their software version serve.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {configuration} from '../lib-2/config.mjs';
import {Fleet, HAS_TROUBLE, runCase} from '../lib-2/fleet.mjs';
import {StreamClient} from '../lib-2/streams.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const STREAMS = 24;
const SERVERS_PER_VERSION = 2;
/** 400 tokens, 40 ms between them: streams of 16 s. */
const SERVER = {
  service: 'llm',
  slots: 16,
  events: 400,
  eventMs: 40,
  marksVersion: true,
};
const DEADLINE_MS = 30_000;
/** From the start of the streams. */
const KILLED_AT_MS = 12_000;
const RESTART_DELAY_MS = 1000;
/** The rule counts from 12 streams that are taken up. */
const MIN_TAKEN_UP = 12;

function deployment() {
  const config = configuration();
  const routes = config.routes.map(route =>
    route.name === 'notes' ? {...route, timeout_ms: DEADLINE_MS} : route,
  );
  return new Fleet({...config, routes});
}

async function run(fleet, record) {
  await fleet.addServer({service: 'api'});
  for (let i = 0; i < SERVERS_PER_VERSION; i++)
    for (const version of ['a1', 'a2'])
      await fleet.addServer({...SERVER, version});
  for (let i = 0; i < 3; i++) await fleet.addHost();
  await fleet.untilReady();
  const [first, ...others] = fleet.hosts;
  // Hosts that have just been stopped or started are not in touch.
  await sleep(3500);
  const clients = [...Array(STREAMS)].map(
    () => new StreamClient(first, others, DEADLINE_MS),
  );
  record.say(
    `${STREAMS} streams begin at ${first.node}; two servers of each of two versions serve`,
  );
  await sleep(KILLED_AT_MS);
  const begun = clients.filter(({first: {events}}) => events.length > 0).length;
  record.say(`${begun} streams have got events`);
  if (begun < MIN_TAKEN_UP) throw new Error('too few streams have begun');
  if (HAS_TROUBLE) {
    first.signal('SIGKILL');
    record.say(`${first.node} is killed`);
  }
  const fresh = [...Array(STREAMS)].map(
    (_, i) => new StreamClient(others[i % others.length], others, DEADLINE_MS),
  );
  record.say(`${STREAMS} new streams are asked for at the other hosts`);
  await sleep(RESTART_DELAY_MS);
  if (HAS_TROUBLE) first.start();
  await Promise.all([...clients, ...fresh].map(({done}) => done));
  for (const {path, first: one, second} of clients)
    record.say(
      `${path}: ${one.events.length} events, whole ${one.isWhole}` +
        (second
          ? `; taken up at ${second.host.node}: status ${second.status}, ${second.events.length} events`
          : ''),
    );
  const takenUp = clients.filter(({second}) => second !== undefined);
  const wentOn = takenUp.filter(client => client.wentOn).length;
  const began = fresh.filter(({first: {events}}) => events.length > 0).length;
  record.say(
    `${wentOn} of ${takenUp.length} streams that were taken up went on`,
  );
  record.say(`${began} of ${STREAMS} new streams began`);
  if (takenUp.length < MIN_TAKEN_UP) return true;
  return wentOn / takenUp.length >= began / STREAMS / 2;
}

await runCase(FOLDER, run, deployment);
