/** Clients of streams that take a stream up once after it broke off. */
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {newId} from './client.mjs';

/** Pause of a client before it tries again, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** One client attempt of a stream: its events, as they arrive. */
class Attempt {
  id = newId();
  events = [];
  status = undefined;
  isWhole = false;

  constructor(host, path, {deadlineMs, lastEventId, resumes}) {
    this.host = host;
    this.done = new Promise(resolve => {
      let text = '';
      const req = request({
        host: host.front.host,
        port: host.front.port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          host: 'bank.example',
          'x-attempt-id': this.id,
          'x-deadline-ms': String(deadlineMs),
          'x-model': 'm',
          'x-token-usage': '450,400',
          'x-prompt-prefix': `5c1e07a2:200,${this.id}:250`,
          'content-length': '4',
          ...(lastEventId === undefined
            ? {}
            : {'last-event-id': String(lastEventId)}),
          ...(resumes === undefined ? {} : {resumes}),
        },
      });
      req.on('error', resolve);
      req.on('response', res => {
        this.status = res.statusCode;
        res.on('data', part => {
          text += String(part);
          const found = text.split('\n\n');
          text = found.pop();
          if (res.statusCode === 200) this.events.push(...found.map(parse));
        });
        res.on('error', resolve);
        res.on('end', () => {
          this.isWhole = res.complete && res.statusCode === 200;
        });
        res.on('close', resolve);
      });
      req.end('note');
    });
  }
}

function parse(event) {
  const id = /^id: ?(\d+)$/m.exec(event)?.[1];
  const data = /^data: ?(.*)$/m.exec(event)?.[1] ?? '';
  return {id: Number(id), version: /version=(\w+)/.exec(data)?.[1]};
}

/** A client and its stream: the first attempt, and one more after a break. */
export class StreamClient {
  constructor(host, others, deadlineMs) {
    this.path = `/notes/${newId()}`;
    this.startedAt = Date.now();
    this.first = new Attempt(host, this.path, {deadlineMs});
    this.done = this.follow(others, deadlineMs);
  }

  async follow(others, deadlineMs) {
    await this.first.done;
    const {events, isWhole, id} = this.first;
    if (isWhole || events.length === 0) return;
    await sleep(RETRY_PAUSE_MS);
    const leftMs = this.startedAt + deadlineMs - Date.now();
    const host = others[Math.floor(Math.random() * others.length)];
    this.second = new Attempt(host, this.path, {
      deadlineMs: leftMs,
      lastEventId: events.at(-1).id,
      resumes: id,
    });
    await this.second.done;
  }

  /** Whether it was taken up, and went on. */
  get wentOn() {
    return (this.second?.events.length ?? 0) > 0;
  }

  /** The software versions whose servers made its events. */
  get versions() {
    const events = [...this.first.events, ...(this.second?.events ?? [])];
    return [...new Set(events.map(({version}) => version))];
  }
}
