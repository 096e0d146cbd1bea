/**
 * Stand-in of the platform's metadata store, as the page PROTOCOL.md describes
 * it: rows in tables and parts, a change feed, transactions, raw objects. Each
 * host gets an endpoint of its own, whose faults are those that the page names.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';

const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_CALL_BYTES = 1_048_576;
const POLL_MS = 5;

/** Figures of a small deployment, from the sheet of the deployment. */
const DEFAULT_FIGURES = {txMs: 3, readMs: 1, blobMs: 25, blobMbPerS: 80};

/** One address of the store. */
class Endpoint {
  /** Factor by which answers take longer. */
  slow = 1;
  /** 'none', 'silent', 'down', 'busy', 'reset' or 'lost'. */
  fault = 'none';
  /** With 'lost': which writes are done and not answered. */
  isLost = () => true;
  /** With 'lost': how much later such a write is done, in milliseconds. */
  lateMs = 0;

  constructor(store) {
    this.store = store;
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.on('clientError', (err, socket) => socket.destroy());
    this.sockets = new Set();
    this.silent = new WeakSet();
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async listen() {
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Never answers again on the connections that are open now. */
  silenceConnections() {
    for (const socket of this.sockets) this.silent.add(socket);
  }

  async serve(req, res) {
    const parts = [];
    try {
      for await (const part of req) parts.push(part);
    } catch {
      return;
    }
    const body = Buffer.concat(parts);
    this.store.calls++;
    const isSilent = () =>
      this.fault === 'silent' || this.silent.has(req.socket);
    if (isSilent()) return;
    if (this.fault === 'down') return send(res, 503, {});
    if (this.fault === 'busy') return send(res, 429, {});
    if (this.fault === 'reset') return void req.socket.resetAndDestroy();
    const url = new URL(req.url, 'http://store');
    const name = `${req.method} ${url.pathname.split('/').slice(0, 3).join('/')}`;
    const isWrite = req.method !== 'GET';
    const isLost = isWrite && this.fault === 'lost' && this.isLost(name);
    if (isLost && this.lateMs > 0) await sleep(this.lateMs);
    const answer = await this.store.handle(name, url, body, this);
    if (isLost) return void req.socket.destroy();
    if (isSilent()) return;
    if (answer.bytes) {
      res.writeHead(answer.status, {'content-length': answer.bytes.length});
      res.end(answer.bytes);
      return;
    }
    send(res, answer.status, answer.json ?? {});
  }
}

/** The store, with any number of endpoints. */
export class Store {
  rows = new Map();
  objects = new Map();
  history = [];
  historyStart = 0;
  ver = 0;
  calls = 0;
  outage = false;
  endpoints = [];
  queues = new Map();

  constructor(figures = {}) {
    this.figures = {...DEFAULT_FIGURES, ...figures};
  }

  async open() {
    const endpoint = await new Endpoint(this).listen();
    this.endpoints.push(endpoint);
    return endpoint;
  }

  close() {
    for (const endpoint of this.endpoints) endpoint.close();
  }

  /** Whether no host and no server reaches it. */
  get isDown() {
    return this.outage;
  }

  /** Answers nobody from now on, or answers again. */
  set isDown(outage) {
    this.outage = outage;
    for (const endpoint of this.endpoints)
      endpoint.fault = outage ? 'silent' : 'none';
  }

  nowMs() {
    return Math.round(performance.now());
  }

  /** Writes or removes a row as the operator or a server does. */
  put(table, key, value) {
    const ref = {table, part: '', key};
    if (value === undefined) this.apply({expect: [], puts: [], remove: [ref]});
    else {
      const bytes = Buffer.from(JSON.stringify(value)).toString('base64');
      this.apply({expect: [], puts: [{...ref, value: bytes}], remove: []});
    }
  }

  /** The JSON values of a table, by key. */
  values(table) {
    const found = [...this.rows.values()].filter(row => row.table === table);
    return new Map(
      found.map(row => [
        row.key,
        JSON.parse(Buffer.from(row.value, 'base64').toString()),
      ]),
    );
  }

  apply({expect = [], puts = [], remove = []}) {
    const known = expect.flatMap(ref => this.rows.get(idOf(ref)) ?? []);
    const holds = expect.every(
      ref => (this.rows.get(idOf(ref))?.ver ?? 0) === ref.ver,
    );
    if (!holds) return {status: 412, json: {rows: known}};
    this.ver++;
    const {ver} = this;
    for (const {table, part, key, value} of puts) {
      const row = {table, part, key, value, ver};
      this.rows.set(idOf(row), row);
      this.history.push(row);
    }
    for (const {table, part, key} of remove)
      if (this.rows.delete(idOf({table, part, key})))
        this.history.push({table, part, key, ver, tombstone: true});
    return {status: 200, json: this.moment()};
  }

  moment() {
    return {ver: this.ver, now_ms: this.nowMs()};
  }

  async handle(name, url, body, endpoint) {
    const query = url.searchParams;
    const {txMs, readMs, blobMs, blobMbPerS} = this.figures;
    const transferMs = body.length / 1000 / blobMbPerS;
    switch (name) {
      case 'POST /v1/rows-tx': {
        if (body.length > MAX_CALL_BYTES) return {status: 413};
        const call = JSON.parse(body.toString());
        const refs = [call.expect, call.puts, call.remove].flat();
        if (refs.length > 100) return {status: 400};
        const parts = [...new Set(refs.map(({part}) => part))];
        if (parts.length > 1 && !call.across) return {status: 400};
        return this.inTurn(parts[0] ?? '', async () => {
          await sleep(txMs * endpoint.slow * (parts.length > 1 ? 2 : 1));
          return this.apply(call);
        });
      }
      case 'GET /v1/rows-get':
        await sleep(readMs * endpoint.slow);
        return {status: 200, json: this.page(query)};
      case 'GET /v1/rows-feed':
        await sleep(readMs * endpoint.slow);
        return this.feed(query, endpoint);
      case 'PUT /v1/blob-put': {
        await sleep((blobMs + transferMs) * endpoint.slow);
        const id = decodeURIComponent(url.pathname.split('/').pop());
        if (this.objects.has(id)) return {status: 412};
        this.objects.set(id, body);
        return {status: 200};
      }
      case 'GET /v1/blob-get': {
        const id = decodeURIComponent(url.pathname.split('/').pop());
        const bytes = this.objects.get(id);
        await sleep(
          (blobMs + (bytes?.length ?? 0) / 1000 / blobMbPerS) * endpoint.slow,
        );
        return bytes ? {status: 200, bytes} : {status: 404};
      }
      case 'DELETE /v1/blob-drop':
        await sleep(blobMs * endpoint.slow);
        this.objects.delete(decodeURIComponent(url.pathname.split('/').pop()));
        return {status: 200};
      default:
        return {status: 404};
    }
  }

  /** Transactions of one part are done one after another. */
  inTurn(part, task) {
    const last = this.queues.get(part) ?? Promise.resolve();
    const next = last.then(task, task);
    this.queues.set(part, next);
    return next;
  }

  page(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(
      Number(query.get('limit') ?? MAX_PAGE_ROWS),
      MAX_PAGE_ROWS,
    );
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part)
      .filter(({key}) => key >= from && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (rows.length >= limit) break;
      if (rows.length > 0 && bytes > MAX_PAGE_BYTES) break;
      rows.push(row);
    }
    return {...this.moment(), rows, has_more: rows.length < found.length};
  }

  async feed(query, endpoint) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const until = this.nowMs() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      if (after < this.historyStart) return {status: 410};
      const rows = [];
      for (let i = this.history.length - 1; i >= 0; i--) {
        if (this.history[i].ver <= after) break;
        if (this.history[i].table === table) rows.push(this.history[i]);
      }
      if (
        endpoint.fault !== 'silent' &&
        (rows.length > 0 || this.nowMs() >= until)
      )
        return {status: 200, json: {rows: rows.reverse(), ...this.moment()}};
      if (this.nowMs() >= until + 30_000) return {status: 503};
      await sleep(POLL_MS);
    }
  }
}

function idOf({table, part, key}) {
  return `${table}\n${part}\n${key}`;
}

function send(res, status, json) {
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(json));
}
