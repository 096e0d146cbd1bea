/**
 * Stand-in of a server of the platform: it lists itself in the store, admits
 * requests in order of arrival, and answers with a stream of events or a body.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

const HEARTBEAT_MS = 1200;

/** Data of event `n` of the stream for a path. */
export function eventData(path, n, bytes = 0) {
  return `${path}#${n}${'.'.repeat(bytes)}`;
}

function newServerId() {
  return `i-${randomBytes(4).toString('hex')}`;
}

/** A server on the loopback interface. */
export class Server {
  /** What has begun to run, in order. */
  ran = [];
  running = 0;
  waiting = 0;

  constructor(store, options = {}) {
    this.store = store;
    this.options = {
      id: newServerId(),
      service: 'llm',
      zone: 'hall-a',
      version: 'a1',
      slots: 8,
      queue: 24,
      events: 20,
      eventMs: 30,
      eventBytes: 0,
      answerMs: 20,
      marksVersion: false,
      /** Whether the server crashes when it begins to write the answer. */
      crashesAt: () => false,
      /** How long it is down then, in milliseconds. */
      downMs: 3000,
      ...options,
    };
    this.born = Date.now();
    this.seq = 0;
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 5000;
    this.server.on('clientError', (err, socket) => socket.destroy());
    this.sockets = new Set();
    this.timers = [];
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start() {
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.list('ready');
    this.timer = setInterval(() => this.list(this.state), HEARTBEAT_MS);
    return this;
  }

  list(state) {
    this.state = state;
    // A server that does not reach the store writes its entry once it does.
    if (this.store.isDown) return;
    const {id, service, zone, version, slots} = this.options;
    this.store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version,
      slots,
      state,
      cold_left_ms: 0,
      seq: ++this.seq,
      born: this.born,
    });
  }

  /** Removes its entry; the server goes on serving. */
  unlist() {
    clearInterval(this.timer);
    this.store.put('servers', this.options.id, undefined);
  }

  /**
   * Crashes: its connections are reset, and it is back after a while.
   *
   * @param downMs - How long it is down, in milliseconds.
   * @param again - Its id and software version then; a new id by default.
   */
  async crash(downMs, again = {id: newServerId()}) {
    if (this.isDown) return;
    this.isDown = true;
    clearInterval(this.timer);
    const {port} = this.server.address();
    const {id} = this.options;
    const closed = new Promise(done => this.server.close(done));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
    // Its entry is removed after three heartbeats of silence.
    const expire = () => this.store.put('servers', id, undefined);
    if (again.id !== id) this.timers.push(setTimeout(expire, 3 * HEARTBEAT_MS));
    await sleep(downMs);
    if (this.isClosed) return;
    Object.assign(this.options, again);
    this.born = Date.now();
    this.seq = 0;
    await new Promise(done => this.server.listen(port, '127.0.0.1', done));
    this.isDown = false;
    this.list('ready');
    this.timer = setInterval(() => this.list(this.state), HEARTBEAT_MS);
  }

  close() {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const timer of this.timers) clearTimeout(timer);
    if (this.isDown) return;
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(req, res) {
    const parts = [];
    try {
      for await (const part of req) parts.push(part);
    } catch {
      return;
    }
    const {id, slots, queue} = this.options;
    const attempt = req.headers['x-attempt-id'];
    const echo = attempt === undefined ? {} : {'x-attempt-id': attempt};
    const refuse = status => {
      res
        .writeHead(status, {...echo, 'x-not-run': '1', 'content-length': 0})
        .end();
    };
    if (req.headers['x-expect-instance'] !== id) return refuse(421);
    if (attempt === undefined) return refuse(400);
    if (this.running >= slots && this.waiting >= queue) return refuse(503);
    this.waiting++;
    while (this.running >= slots && !res.closed) await sleep(1);
    this.waiting--;
    if (res.closed) return;
    this.running++;
    const run = {
      id: attempt,
      method: req.method,
      path: req.url,
      body: Buffer.concat(parts),
      headers: req.headers,
      at: Date.now(),
      server: id,
    };
    this.ran.push(run);
    res.on('close', () => {
      run.endedAt = Date.now();
      run.whole = res.writableFinished;
    });
    try {
      if (this.options.crashesAt(run)) {
        run.crashed = true;
        void this.crash(this.options.downMs);
        return;
      }
      await this.answer(run, res, {...echo, 'x-server-seal': `s.${attempt}`});
    } finally {
      this.running--;
    }
  }

  async answer(run, res, headers) {
    const {events, eventMs, eventBytes, answerMs, version} = this.options;
    if (run.headers['x-model'] === undefined) {
      await sleep(answerMs);
      const body = `answer to ${run.path} ${run.body.length}`;
      res.writeHead(200, {...headers, 'content-length': body.length}).end(body);
      return;
    }
    res.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
    const first = Number(run.headers['last-event-id'] ?? 0) + 1;
    for (let n = first; n <= events && !res.closed; n++) {
      await sleep(eventMs);
      const data = eventData(run.path, n, eventBytes);
      const mark = this.options.marksVersion ? ` version=${version}` : '';
      res.write(`id: ${n}\ndata: ${data}${mark}\n\n`);
    }
    res.end();
  }
}
