/**
 * Streams that a client takes up after its host was killed are joined with
 * events of another software version.
 *
 * Servers of version a1 are replaced by servers of version a2. The old ones do
 * not report that they drain: their entries are removed, and they go on serving
 * for some seconds more. Streams of 16 s run on them. Then one host is killed.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {configuration} from '../lib-2/config.mjs';
import {Fleet, HAS_TROUBLE, runCase} from '../lib-2/fleet.mjs';
import {StreamClient} from '../lib-2/streams.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const STREAMS = 16;
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
const NEW_VERSION_AT_MS = 1000;
const UNLISTED_AT_MS = 2000;
const KILLED_AT_MS = 13_500;
const RESTART_DELAY_MS = 1000;
/** "More than two streams" break the rule. */
const MAX_MIXED = 2;

function deployment() {
  const config = configuration();
  const routes = config.routes.map(route =>
    route.name === 'notes' ? {...route, timeout_ms: DEADLINE_MS} : route,
  );
  return new Fleet({...config, routes});
}

async function run(fleet, record) {
  await fleet.addServer({service: 'api'});
  const old = [];
  for (let i = 0; i < 2; i++)
    old.push(await fleet.addServer({...SERVER, version: 'a1'}));
  for (let i = 0; i < 3; i++) await fleet.addHost();
  await fleet.untilReady();
  const [first, ...others] = fleet.hosts;
  await sleep(2000);
  const startedAt = Date.now();
  const until = ms => sleep(Math.max(0, startedAt + ms - Date.now()));
  const clients = [...Array(STREAMS)].map(
    () => new StreamClient(first, others, DEADLINE_MS),
  );
  record.say(`${STREAMS} streams begin at ${first.node}`);
  await until(NEW_VERSION_AT_MS);
  for (let i = 0; i < 2; i++) await fleet.addServer({...SERVER, version: 'a2'});
  record.say('two servers of version a2 are listed');
  await until(UNLISTED_AT_MS);
  for (const server of old) server.unlist();
  record.say(
    'the entries of the servers of version a1 are removed; they go on serving',
  );
  await until(KILLED_AT_MS);
  const begun = clients.filter(({first: {events}}) => events.length > 0).length;
  record.say(`${begun} streams have got events`);
  if (begun < STREAMS / 2) throw new Error('too few streams have begun');
  if (HAS_TROUBLE) {
    first.signal('SIGKILL');
    record.say(`${first.node} is killed`);
    await sleep(RESTART_DELAY_MS);
    first.start();
  }
  await Promise.all(clients.map(({done}) => done));
  for (const {path, first: one, second, versions} of clients)
    record.say(
      `${path}: ${one.events.length} events, whole ${one.isWhole}` +
        (second
          ? `; taken up at ${second.host.node}: status ${second.status}, ${second.events.length} events`
          : '') +
        `; versions ${versions.join(' and ')}`,
    );
  const mixed = clients.filter(({versions}) => versions.length > 1).length;
  record.say(`${mixed} streams hold events of two software versions`);
  return mixed <= MAX_MIXED;
}

await runCase(FOLDER, run, deployment);
