// Streams of an edge that has lost power are taken up at the other edges, after
// a release has begun.
import {dirname} from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, TROUBLE} from '../../lib/fleet.mjs';
import {addServer, Clients, release} from '../../lib/streams.mjs';

const EDGES = 3;
const SERVERS = 12;
const SLOTS = 8;
const EVENTS = 35;
const EVENT_MS = 20;
const CLIENTS = 72;
const STEADY_MS = 13_000;
/** How long the machine is dark: nothing on it answers. */
const DARK_MS = 3500;
const RELEASE_AFTER_MS = 1000;
const RELEASE = {steps: 3, atATime: 2, gapMs: 1000};
const AFTER_MS = 4000;
/** The rule: of so many streams, under so much of the share of new streams. */
const MIN_TAKEN_UP = 12;
const MIN_SHARE = 0.5;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    const server = {slots: SLOTS, events: EVENTS, eventMs: EVENT_MS};
    for (let i = 0; i < SERVERS; i++) await addServer(fleet, 'v1', i, server);
    await fleet.addEdges(EDGES);
    record.add(`${EDGES} edges and ${SERVERS} servers of v1 are ready`);
    const clients = new Clients(fleet, record, CLIENTS);
    await pause(STEADY_MS);
    const [dark] = fleet.edges;
    const lostAt = Date.now();
    if (TROUBLE) {
      dark.isLost = true;
      dark.stop();
      record.add(`${dark.node} loses power`);
    }
    const ending = pause(DARK_MS).then(() => {
      if (!TROUBLE) return;
      dark.kill();
      record.add(`${dark.node}: its process and its connections are gone`);
    });
    await pause(RELEASE_AFTER_MS);
    if (process.env['NO_RELEASE'] !== '1')
      await release(fleet, record, {...RELEASE, server});
    await ending;
    await pause(AFTER_MS);
    await clients.stop();
    const {streams} = clients;
    const takenUp = streams.filter(({takeUps}) => takeUps.length > 0);
    const goOn = takenUp.filter(({takeUps}) =>
      takeUps.some(({events}) => events > 0),
    );
    const fresh = streams.filter(
      ({sentAt, firstEdge}) => sentAt > lostAt && firstEdge !== dark,
    );
    const begun = fresh.filter(one => one.begun);
    const share = goOn.length / Math.max(1, takenUp.length);
    const shareNew = begun.length / Math.max(1, fresh.length);
    record.add(
      `${begun.length} of ${fresh.length} new streams at the other edges begin`,
    );
    record.add(
      `${goOn.length} of ${takenUp.length} streams that clients take up go on; ${SERVERS - RELEASE.steps * RELEASE.atATime} servers of v1 are ready all the while`,
    );
    return takenUp.length >= MIN_TAKEN_UP && share < MIN_SHARE * shareNew;
  },
);
