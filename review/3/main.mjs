// Streams that began at a server of a new software version are taken up at an
// edge that was cut off before that version was listed.
import {dirname} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, TROUBLE} from '../lib/fleet.mjs';
import {addServer, Clients, release} from '../lib/streams.mjs';

const EDGES = 3;
const SERVERS = 12;
const SLOTS = 8;
const EVENTS = 35;
const EVENT_MS = 40;
const CLIENTS = 84;
const STEADY_MS = 13_000;
/** How long an edge is cut off; the release and the kill come in that time. */
const CUT_MS = 5500;
const RELEASE_AFTER_MS = 500;
const RELEASE = {steps: 3, atATime: 2, gapMs: 1000};
/** From the last step of the release to the kill. */
const KILL_AFTER_MS = 500;
const AFTER_MS = 4000;
/** More streams than that break the rule. */
const MAX_MIXED = 2;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    const server = {slots: SLOTS, events: EVENTS, eventMs: EVENT_MS};
    for (let i = 0; i < SERVERS; i++) await addServer(fleet, 'v1', i, server);
    await fleet.addEdges(EDGES);
    record.add(`${EDGES} edges and ${SERVERS} servers of v1 are ready`);
    const clients = new Clients(fleet, record, CLIENTS);
    await pause(STEADY_MS);
    const [killed, cut] = fleet.edges;
    if (TROUBLE) {
      fleet.links.cut(cut.node);
      record.add(`${cut.node} cut off from the store and the other edges`);
    }
    const healing = pause(CUT_MS).then(() => {
      if (!TROUBLE) return;
      fleet.links.heal(cut.node);
      record.add(`${cut.node} reaches the store and the other edges again`);
    });
    await pause(RELEASE_AFTER_MS);
    await release(fleet, record, {...RELEASE, server});
    await pause(KILL_AFTER_MS);
    if (TROUBLE) {
      killed.isLost = true;
      killed.kill();
      record.add(`${killed.node} killed`);
    }
    await healing;
    await pause(AFTER_MS);
    await clients.stop();
    const {streams} = clients;
    const mixed = streams.filter(
      ({events}) => new Set(events.map(({version}) => version)).size > 1,
    );
    for (const {name, events} of mixed) {
      const at = events.findIndex(({version}) => version !== events[0].version);
      record.add(
        `${name} has events 1 to ${events[at - 1].id} of ${events[0].version} and events from ${events[at].id} on of ${events[at].version}`,
      );
    }
    const whole = streams.filter(({events}) => events.length === EVENTS).length;
    record.add(
      `${streams.length} streams, ${whole} whole; ${mixed.length} hold events of two versions (allowed: ${MAX_MIXED})`,
    );
    return mixed.length > MAX_MIXED;
  },
);
