// Links between edges, and between an edge and the store, that can be cut: what
// is sent over a link that is cut is dropped without a word.
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {URL} from 'node:url';

const LOCAL = '127.0.0.1';
const LOAD_PORT = 7660;

/** Edges that are cut off from the store and from all other edges. */
export class Links {
  cutOff = new Set();
  held = new Set();
  links = new Map();
  closers = [];

  cut(node) {
    this.cutOff.add(node);
  }

  heal(node) {
    this.cutOff.delete(node);
    for (const socket of this.held) socket.destroy();
    this.held.clear();
  }

  close() {
    for (const close of this.closers) close();
  }

  /** A proxy of the store for one edge, which sees other edges by their links. */
  async storeFor(node, endpoint) {
    const server = http.createServer(async (req, res) => {
      const chunks = [];
      for await (const chunk of req) chunks.push(chunk);
      if (this.cutOff.has(node)) return void this.held.add(req.socket);
      const forwarded = http.request(
        `http://${endpoint}${req.url}`,
        {method: req.method, headers: req.headers},
        async answer => {
          const parts = [];
          for await (const part of answer) parts.push(part);
          if (this.cutOff.has(node)) return void this.held.add(req.socket);
          const body = await this.seenBy(node, req.url, Buffer.concat(parts));
          const {'content-type': type} = answer.headers;
          res.writeHead(answer.statusCode, {
            ...(type ? {'content-type': type} : {}),
            'content-length': body.length,
          });
          res.end(body);
        },
      );
      forwarded.on('error', () => res.destroy());
      forwarded.end(Buffer.concat(chunks));
    });
    server.keepAliveTimeout = 60_000;
    await listen(server);
    this.closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    return `${LOCAL}:${server.address().port}`;
  }

  /** Replaces the addresses of other edges by those of the links to them. */
  async seenBy(node, url, body) {
    const {searchParams} = new URL(url, 'http://store');
    if (searchParams.get('table') !== 'members') return body;
    const page = JSON.parse(body.toString());
    for (const row of page.rows ?? []) {
      if (!row.value || row.key === node) continue;
      const member = JSON.parse(Buffer.from(row.value, 'base64').toString());
      const link = await this.link(node, member);
      const seen = {...member, ...link};
      row.value = Buffer.from(JSON.stringify(seen)).toString('base64');
    }
    return Buffer.from(JSON.stringify(page));
  }

  link(node, member) {
    const name = `${node} ${member.host}`;
    if (!this.links.has(name)) this.links.set(name, this.open(node, member));
    return this.links.get(name);
  }

  async open(node, {host, ip, controlAddress}) {
    const isCut = () => this.cutOff.has(node) || this.cutOff.has(host);
    const datagrams = createSocket('udp4');
    datagrams.on('message', message => {
      if (!isCut()) datagrams.send(message, LOAD_PORT, ip);
    });
    datagrams.on('error', () => {});
    datagrams.bind(0, LOCAL);
    await once(datagrams, 'listening');
    const [controlIp, controlPort] = controlAddress.split(':');
    const server = net.createServer(near => {
      const far = net.connect(Number(controlPort), controlIp);
      for (const [from, to] of [
        [near, far],
        [far, near],
      ]) {
        from.on('data', chunk => {
          if (isCut()) this.held.add(from);
          else to.write(chunk);
        });
        from.on('error', () => {});
        from.on('close', () => (isCut() ? this.held.add(to) : to.destroy()));
      }
    });
    await listen(server);
    const sockets = new Set();
    server.on('connection', socket => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    this.closers.push(() => {
      datagrams.close();
      server.close();
      for (const socket of sockets) socket.destroy();
    });
    return {
      ip: LOCAL,
      loadPort: datagrams.address().port,
      controlAddress: `${LOCAL}:${server.address().port}`,
    };
  }
}

async function listen(server) {
  server.listen(0, LOCAL);
  await once(server, 'listening');
}
