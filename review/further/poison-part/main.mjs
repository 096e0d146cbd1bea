// One part of a prompt crashes each server that begins to answer a request with
// it, in a deployment with little traffic.
import {randomBytes} from 'node:crypto';
import {dirname} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {attempt, BOUNDS, runCase, TROUBLE} from '../../lib/fleet.mjs';

const EDGES = 3;
const SERVERS = 6;
const SLOTS = 8;
const EVENTS = 35;
const EVENT_MS = 15;
/** The server is back after some seconds. */
const DOWNTIME_MS = 2000;
const DEADLINE_MS = 5000;
/** Pause between two sound requests at one edge. */
const SOUND_PAUSE_MS = [1200, 2800];
/** Sound requests alone, at first. */
const SOUND_ONLY_MS = 14_000;
/** Pause between two requests with the part. */
const PART_PAUSE_MS = 8000;
const PART_REQUESTS = 12;
const FIRST_PART = 'a1';
const BAD_PART = 'bad';
/** The rule: more than so many requests, so long after so many crashes. */
const MAX_LATER = 3;
const CRASHES = 5;

function send(edge, name, parts) {
  return attempt(
    edge,
    `/flags/${name}`,
    {
      'x-attempt-id': randomBytes(8).toString('hex'),
      'x-model': 'm',
      'x-token-usage': '450,35',
      'x-prompt-prefix': `${parts},${randomBytes(4).toString('hex')}:250`,
      'x-deadline-ms': String(DEADLINE_MS),
    },
    `question ${name}`,
  );
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    for (let i = 0; i < SERVERS; i++) {
      const server = await fleet.addServer({
        id: `i-${i}`,
        slots: SLOTS,
        maxQueueLength: 24,
        events: EVENTS,
        eventMs: EVENT_MS,
      });
      server.crashDowntimeMs = DOWNTIME_MS;
      if (TROUBLE) server.crashParts.add(BAD_PART);
    }
    await fleet.addEdges(EDGES);
    record.add(`${EDGES} edges and ${SERVERS} servers are ready`);
    let isOver = false;
    const sound = {sent: 0, whole: 0};
    const callers = fleet.edges.map(async (edge, i) => {
      const [least, most] = SOUND_PAUSE_MS;
      while (!isOver) {
        const name = `s${i}-${sound.sent++}`;
        const pausing = pause(least + Math.random() * (most - least));
        const {status, whole} = await send(edge, name, `${FIRST_PART}:200`);
        if (status === 200 && whole) sound.whole++;
        else
          record.add(
            `sound request ${name}: status ${status}, ${whole ? 'whole' : 'broken off'}`,
          );
        await pausing;
      }
    });
    await pause(SOUND_ONLY_MS);
    const runsOf = () =>
      fleet.servers
        .flatMap(({ran}) => ran)
        .filter(({headers}) =>
          headers['x-prompt-prefix'].split(',').includes(`${BAD_PART}:50`),
        )
        .sort((a, b) => a.at - b.at);
    for (let i = 0; i < PART_REQUESTS; i++) {
      const before = runsOf().length;
      const edge = fleet.edges[i % EDGES];
      const pausing = pause(PART_PAUSE_MS);
      const parts = `${FIRST_PART}:200,${BAD_PART}:50`;
      const {status, whole} = await send(edge, `p${i}`, parts);
      const runs = runsOf();
      record.add(
        `request ${i + 1} with the part at ${edge.node}: status ${status}, ${whole ? 'whole' : 'broken off'}, reached ${runs.length - before} servers, ${runs.length} in all`,
      );
      await pausing;
    }
    isOver = true;
    await Promise.all(callers);
    record.add(`${sound.whole} of ${sound.sent} sound requests served whole`);
    const crashes = fleet.servers.reduce((n, one) => n + one.partCrashes, 0);
    if (crashes < CRASHES) {
      record.add(`${crashes} crashes`);
      return false;
    }
    const runs = runsOf();
    const from = runs[CRASHES - 1].at + BOUNDS.stability_ms;
    const later = runs.filter(({at}) => at > from).length;
    record.add(
      `${crashes} crashes; ${later} requests with the part reached servers later than ${BOUNDS.stability_ms} ms after crash ${CRASHES} (allowed: ${MAX_LATER})`,
    );
    return later > MAX_LATER;
  },
);
