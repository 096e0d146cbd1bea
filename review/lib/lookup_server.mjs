// A server of a plain service, as the page PROTOCOL.md describes servers. When it
// is faulty, it spoils a share of its answers.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const SLOTS = 6;
const QUEUE = 24;
const WORK_MS = [60, 140];

export class LookupServer {
  /** IDs of the requests that have begun to run here. */
  ran = new Set();
  /** When they arrived here. */
  arrived = new Map();
  running = 0;
  waiting = 0;
  spoiled = 0;
  /** Share of the answers that are spoiled. */
  spoils = 0;

  constructor(store, id, service) {
    this.store = store;
    this.id = id;
    this.service = service;
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 5000;
  }

  async start() {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    await this.store.put('servers', this.id, {
      service: this.service,
      address: `127.0.0.1:${this.server.address().port}`,
      zone: 'hall-a',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
      born: Date.now(),
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(req, res) {
    const id = req.headers['x-attempt-id'];
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const refuse = status => {
      const headers = {'x-attempt-id': id, 'x-not-run': '1'};
      res.writeHead(status, {...headers, 'content-length': 0}).end();
    };
    if (req.headers['x-expect-instance'] !== this.id) return refuse(421);
    if (this.running >= SLOTS && this.waiting >= QUEUE) return refuse(503);
    this.waiting++;
    this.arrived.set(id, Date.now());
    while (this.running >= SLOTS) await pause(2);
    this.waiting--;
    this.running++;
    this.ran.add(id);
    const [least, most] = WORK_MS;
    await pause(least + Math.random() * (most - least));
    this.running--;
    const body = `answer to ${Buffer.concat(chunks)}`;
    const isSpoiled = Math.random() < this.spoils;
    if (isSpoiled) this.spoiled++;
    // One line of the head comes twice: no answer in the protocol has that.
    const type = 'text/plain';
    res.writeHead(200, {
      'X-Attempt-Id': id,
      'X-Server-Seal': `seal-${id}`,
      'Content-Type': isSpoiled ? [type, type] : type,
      'Content-Length': Buffer.byteLength(body),
    });
    res.end(body);
  }
}
