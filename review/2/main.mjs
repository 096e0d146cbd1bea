// Servers hand out wrong bytes: in a few answers of a faulty server, a line of
// the head comes twice.
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {dirname} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {HOST_NAME, runCase, TROUBLE} from '../lib/fleet.mjs';
import {LookupServer} from '../lib/lookup_server.mjs';

const EDGES = 3;
const SERVERS = 6;
/** Faulty servers, and the share of their answers that they spoil. */
const FAULTY = 2;
const SPOILED_SHARE = 0.02;
const GARBLE_MS = 5500;
const STEADY_MS = 5000;
const AFTER_MS = 6000;
/** Clients of each edge, each with one request at a time. */
const CLIENTS = 16;
const DEADLINE_MS = 1500;
/** More kept connections than that, closed without an answer, break the rule. */
const MAX_CLOSED = 3;

/** Sends one request; resolves when there is an answer or the connection ends. */
function lookup(edge, agent, id, body) {
  return new Promise(resolve => {
    const got = {id, edge, sentAt: Date.now(), status: undefined, kept: false};
    const settle = () => resolve({...got, endedAt: Date.now()});
    const req = http.request(
      {
        host: edge.ip,
        port: 8144,
        method: 'POST',
        path: `/limits/${id}`,
        agent,
        headers: {
          host: HOST_NAME,
          'x-attempt-id': id,
          'x-deadline-ms': String(DEADLINE_MS),
          'content-length': Buffer.byteLength(body),
        },
      },
      res => {
        got.status = res.statusCode;
        res.resume();
        res.on('close', settle);
      },
    );
    req.on('error', settle);
    req.on('close', settle);
    req.on('socket', () => (got.kept = req.reusedSocket));
    req.end(body);
  });
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    const servers = [...Array(SERVERS).keys()].map(
      i => new LookupServer(fleet.store, `i-${i}`, 'api'),
    );
    for (const server of servers) await server.start();
    fleet.alsoClose(() => servers.forEach(server => server.close()));
    await fleet.addEdges(EDGES);
    record.add(`${EDGES} edges and ${SERVERS} servers are ready`);
    const exits = [];
    let isOver = false;
    for (const edge of fleet.edges)
      edge.child.on('exit', code => {
        if (isOver) return;
        edge.isLost = true;
        exits.push(edge.node);
        const reason = edge.output.match(/^\w*Error: .*$/m)?.[0];
        record.add(
          `${edge.node} has ended by itself with code ${code}: ${reason}`,
        );
      });
    const all = [];
    const clients = fleet.edges.flatMap(edge =>
      [...Array(CLIENTS).keys()].map(async () => {
        const agent = new http.Agent({keepAlive: true, maxSockets: 1});
        while (!isOver && !edge.isLost) {
          const id = randomBytes(8).toString('hex');
          all.push(await lookup(edge, agent, id, `question ${id}`));
          await pause(10 + Math.random() * 60);
        }
        agent.destroy();
      }),
    );
    await pause(STEADY_MS);
    const faulty = servers.slice(0, FAULTY);
    if (TROUBLE) {
      for (const server of faulty) server.spoils = SPOILED_SHARE;
      record.add(
        `${FAULTY} of ${SERVERS} servers spoil ${SPOILED_SHARE} of their answers`,
      );
    }
    await pause(GARBLE_MS);
    for (const server of faulty) server.spoils = 0;
    const spoiled = faulty.reduce((sum, server) => sum + server.spoiled, 0);
    record.add(`the servers are sound again; ${spoiled} answers were spoiled`);
    await pause(AFTER_MS);
    isOver = true;
    await Promise.all(clients);
    const sound = servers.slice(FAULTY);
    const closed = all.filter(
      ({id, kept, status}) =>
        kept && status === undefined && sound.some(({ran}) => ran.has(id)),
    );
    for (const {id, edge, sentAt, endedAt} of closed)
      record.add(
        `request ${id} on a kept connection of ${edge.node}: passed on to a sound server, connection closed without an answer after ${endedAt - sentAt} ms`,
      );
    for (const {id, edge, sentAt, status, kept, endedAt} of all) {
      const server = servers.find(({ran}) => ran.has(id));
      record.note(
        sentAt,
        `${id} sent to ${edge.node} on a ${kept ? 'kept' : 'new'} connection: status ${status ?? 'none'} after ${endedAt - sentAt} ms, ${server ? `ran at ${server.id}` : 'did not run'}`,
      );
    }
    const answered = all.filter(({status}) => status === 200).length;
    record.add(
      `${all.length} requests, ${answered} answered with 200; ${exits.length} processes have ended by themselves; ${closed.length} kept connections closed without an answer to a request that a sound server got (allowed: ${MAX_CLOSED})`,
    );
    return closed.length > MAX_CLOSED;
  },
);
