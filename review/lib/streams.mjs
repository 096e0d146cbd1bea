// Clients of resumable streams, as the page PROTOCOL.md describes them.
import {randomBytes} from 'node:crypto';
import {setTimeout as pause} from 'node:timers/promises';
import {attempt} from './fleet.mjs';

const DEADLINE_MS = 5000;
/** The first requests of the clients are spread over so long a time. */
const SPREAD_MS = 2000;
/** A client has some retries within its deadline. */
const MAX_TRIES = 4;

/** The events of a stream, whose data begins with the server's version. */
function eventsIn(text) {
  return [...text.matchAll(/id: ?(\d+)\ndata: (\S+) [^\n]*\n\n/g)].map(
    ([, id, version]) => ({id: Number(id), version}),
  );
}

/** Clients that send one stream after another until they are stopped. */
export class Clients {
  streams = [];
  isStopped = false;

  constructor(fleet, record, count) {
    this.fleet = fleet;
    this.record = record;
    this.done = Promise.all(
      [...Array(count).keys()].map(number => this.run(number)),
    );
  }

  async stop() {
    this.isStopped = true;
    await this.done;
  }

  async run(number) {
    await pause(Math.random() * SPREAD_MS);
    for (let i = 0; !this.isStopped; i++) {
      await this.stream(number, `c${number}-${i}`);
      await pause(20 + Math.random() * 40);
    }
  }

  /** One request of a client, with its further attempts. */
  async stream(number, name) {
    const {edges} = this.fleet;
    const sentAt = Date.now();
    const left = () => DEADLINE_MS - (Date.now() - sentAt);
    const stream = {name, sentAt, events: [], first: undefined, takeUps: []};
    this.streams.push(stream);
    let edge = edges[number % edges.length];
    if (edge.isLost) edge = this.other(edge, number);
    stream.firstEdge = edge;
    for (let tries = 0; tries < MAX_TRIES && left() > 0; tries++) {
      const id = randomBytes(8).toString('hex');
      const last = stream.events.at(-1)?.id;
      const got = await attempt(
        edge,
        `/notes/${name}`,
        {
          'x-attempt-id': id,
          'x-model': 'm',
          'x-token-usage': '450,35',
          'x-prompt-prefix': `a1:200,${randomBytes(4).toString('hex')}:250`,
          'x-deadline-ms': String(left()),
          ...(last === undefined
            ? {}
            : {'last-event-id': String(last), resumes: stream.first}),
        },
        `question ${name}`,
      );
      const events = eventsIn(got.text);
      if (last === undefined) {
        if (events.length > 0) stream.first = id;
        if (tries === 0) stream.begun = events.length > 0;
      } else {
        const version = events[0]?.version;
        stream.takeUps.push({edge, at: Date.now(), events: events.length});
        this.record.add(
          `${name}, ${stream.events[0].version} up to event ${last}, taken up at ${edge.node}: status ${got.status}, ${events.length} events${version ? ` of ${version}` : ''}`,
        );
      }
      stream.events.push(...events);
      if (got.status === 200 && got.whole) return;
      // Retries meet other nodes, and a Retry-After is honoured.
      const afterMs = Number(got.headers['retry-after'] ?? 0) * 1000;
      await pause(Math.max(5, Math.min(afterMs, left() / 3)));
      edge = this.other(edge, number + tries);
    }
  }

  other(edge, number) {
    const others = this.fleet.edges.filter(one => !one.isLost && one !== edge);
    return others[Math.floor(number / 3) % others.length];
  }
}

/** Adds a server of a software version, which its events name. */
export function addServer(fleet, version, number, options) {
  return fleet.addServer({
    id: `i-${version}-${number}`,
    softwareVersion: version,
    maxQueueLength: 24,
    eventData: (path, n) => `${version} ${n}`,
    ...options,
  });
}

/** A server that drains serves for so long after its entry says so. */
const DRAIN_MS = 3000;

/**
 * Replaces servers by servers of v2: the new ones are listed first, then the old
 * ones drain.
 */
export async function release(fleet, record, {steps, atATime, gapMs, server}) {
  const old = [...fleet.servers];
  for (let step = 0; step < steps; step++) {
    for (let i = 0; i < atATime; i++) {
      const number = step * atATime + i;
      await addServer(fleet, 'v2', number, server);
      const leaving = old[number];
      await leaving.list('draining');
      void pause(DRAIN_MS).then(async () => {
        await leaving.unlist();
        await leaving[Symbol.asyncDispose]();
      });
    }
    record.add(
      `release: ${(step + 1) * atATime} of ${old.length} servers are replaced by servers of v2`,
    );
    await pause(gapMs);
  }
}
