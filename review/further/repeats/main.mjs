// A request crashes each server that runs it, and comes again and again.
import {randomBytes} from 'node:crypto';
import {dirname} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ServerStandIn} from '../../../platform/dist/stand_ins/server_stand_in.js';
import {attempt, BOUNDS, runCase, TROUBLE} from '../../lib/fleet.mjs';

const EDGES = 3;
const SERVERS = 9;
const DOWNTIME_MS = 2000;
const BAD_PATH = '/flags/bad';
/** Pause between two repeats, at all edges in turn. */
const REPEAT_PAUSE_MS = 100;
/** From the arrival of a request to its first token. */
const BEGIN_MS = 400;
const SOUND_PAUSE_MS = 120;
const SOUND_ONLY_MS = 5000;
const REPEATS_MS = 72_000;
const CRASHES = 3;
const MAX_LATER = 3;

/** Crashes when it begins to run the request, not when that arrives. */
class Server extends ServerStandIn {
  async crashAndRestart(downMs) {
    await pause(BEGIN_MS);
    return super.crashAndRestart(downMs);
  }
}

function send(edge, path, part) {
  return attempt(
    edge,
    path,
    {
      'x-attempt-id': randomBytes(8).toString('hex'),
      'x-model': 'm',
      'x-token-usage': '450,35',
      'x-prompt-prefix': `a1:200,${part}:250`,
      'x-deadline-ms': '5000',
    },
    'question',
  );
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    for (let i = 0; i < SERVERS; i++) {
      const server = new Server(fleet.store, {
        id: `i-${i}`,
        slots: 8,
        maxQueueLength: 24,
        events: 35,
        eventMs: 15,
      });
      server.crashDowntimeMs = DOWNTIME_MS;
      if (TROUBLE) server.crashPaths.add(BAD_PATH);
      fleet.servers.push(server);
      await server.start();
    }
    await fleet.addEdges(EDGES);
    let isOver = false;
    let sound = 0;
    const others = fleet.edges.map(async edge => {
      while (!isOver) {
        const part = randomBytes(4).toString('hex');
        void send(edge, `/flags/s${sound++}`, part);
        await pause(SOUND_PAUSE_MS);
      }
    });
    await pause(SOUND_ONLY_MS);
    const until = Date.now() + REPEATS_MS;
    const statuses = {};
    const repeats = [];
    while (Date.now() < until) {
      const edge = fleet.edges[repeats.length % EDGES];
      repeats.push(
        send(edge, BAD_PATH, 'ffff').then(({status}) => {
          statuses[status] = (statuses[status] ?? 0) + 1;
        }),
      );
      await pause(REPEAT_PAUSE_MS);
    }
    isOver = true;
    await Promise.all([...others, ...repeats]);
    const runs = fleet.servers
      .flatMap(({ran}) => ran)
      .filter(({path}) => path === BAD_PATH)
      .sort((a, b) => a.at - b.at);
    const seconds = runs.map(({at}) => (at - record.startedAt) / 1000);
    record.add(`${repeats.length} repeats: ${JSON.stringify(statuses)}`);
    record.add(
      `reached servers at ${seconds.map(s => s.toFixed(2)).join(', ')} s`,
    );
    if (!TROUBLE) return false;
    const from = runs[CRASHES - 1].at + BEGIN_MS + BOUNDS.stability_ms;
    const later = runs.filter(({at}) => at > from).length;
    record.add(
      `${later} reached servers later than ${BOUNDS.stability_ms} ms after crash ${CRASHES} (allowed: ${MAX_LATER})`,
    );
    return later > MAX_LATER;
  },
);
