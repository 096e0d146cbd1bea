/**
 * A part of prompts that crashes servers is never held back if its requests come
 * at a slow pace.
 *
 * Each request with the part crashes the servers that begin to answer it. Its
 * client sends it once more, as it may be repeated. Then, half a minute later,
 * comes another request with that part, from another client.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {call, newId} from '../lib-2/client.mjs';
import {HAS_TROUBLE, runCase} from '../lib-2/fleet.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const SERVERS = 5;
const SERVER = {
  service: 'llm',
  slots: 8,
  events: 20,
  eventMs: 20,
  downMs: 3000,
};
const DEADLINE_MS = 5000;
const STABILITY_MS = 3000;
/** Pause between two requests with the part. */
const PAUSE_MS = 31_000;
const REQUESTS = 4;
/** Pause between two sound requests. */
const SOUND_PAUSE_MS = 100;
/** How long sound requests come before the first one with the part. */
const WARM_UP_MS = 11_000;
const RETRY_PAUSE_MS = 100;
/** "the fifth crash", and "more than three requests" after it. */
const CRASHES = 5;
const MAX_AFTER = 3;
const PART = 'dead0bad';

function streamHeaders(parts) {
  return {
    'x-deadline-ms': String(DEADLINE_MS),
    'x-model': 'm',
    'x-token-usage': '450,80',
    'x-prompt-prefix': parts.map(part => `${part}:200`).join(','),
  };
}

/** Sends a stream's request, and once more after a failure. */
async function ask(hosts, parts, path, body) {
  const answers = [];
  for (let i = 0; i < 2; i++) {
    const host = hosts[Math.floor(Math.random() * hosts.length)];
    const headers = streamHeaders(parts);
    const timeoutMs = DEADLINE_MS + 1000;
    const answer = await call(host, {
      method: 'POST',
      path,
      id: newId(),
      headers,
      body,
      timeoutMs,
    });
    answers.push(
      answer.status === 200 && answer.error
        ? `200 ${answer.error}`
        : (answer.status ?? answer.error),
    );
    if (answer.status === 200 && !answer.error) break;
    await sleep(RETRY_PAUSE_MS);
  }
  return answers;
}

async function run(fleet, record) {
  await fleet.addServer({service: 'api'});
  const hasPart = ({headers}) =>
    (headers['x-prompt-prefix'] ?? '').includes(PART);
  const crashesAt = one => HAS_TROUBLE && hasPart(one);
  const servers = [];
  for (let i = 0; i < SERVERS; i++)
    servers.push(await fleet.addServer({...SERVER, crashesAt}));
  for (let i = 0; i < 3; i++) await fleet.addHost();
  await fleet.untilReady();
  const {hosts} = fleet;
  let isOver = false;
  const sound = {asked: 0, whole: 0};
  const askSound = async () => {
    sound.asked++;
    const id = newId();
    const answers = await ask(hosts, ['5c1e07a2', id], `/notes/${id}`, id);
    if (answers.at(-1) === 200) sound.whole++;
  };
  const soundTraffic = (async () => {
    while (!isOver) {
      void askSound();
      await sleep(SOUND_PAUSE_MS);
    }
  })();
  await sleep(WARM_UP_MS);
  for (let i = 0; i < REQUESTS; i++) {
    if (i > 0) await sleep(PAUSE_MS);
    const id = newId();
    const answers = await ask(
      hosts,
      ['5c1e07a2', PART, id],
      `/notes/${id}`,
      id,
    );
    record.say(
      `request ${i + 1} with the part, and its repeat: ${answers.join(', ')}`,
    );
  }
  isOver = true;
  await soundTraffic;
  await sleep(1000);
  const reached = servers
    .flatMap(({ran}) => ran.filter(hasPart))
    .sort((a, b) => a.at - b.at);
  for (const {at, server, crashed} of reached)
    record.say(
      `reached server ${server} at ${((at - record.startedAt) / 1000).toFixed(2)} s${crashed ? ', which crashed' : ''}`,
    );
  record.say(`sound requests: ${sound.whole} of ${sound.asked} answered whole`);
  const fifth = reached.filter(({crashed}) => crashed)[CRASHES - 1];
  if (!fifth) return true;
  const after = reached.filter(({at}) => at > fifth.at + STABILITY_MS).length;
  record.say(
    `${after} requests reached servers later than ${STABILITY_MS} ms after the fifth crash`,
  );
  return after <= MAX_AFTER;
}

await runCase(FOLDER, run);
