/** A small HTTP server on loopback that answers as a test says. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

export interface Received {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** Answers one request; the next request goes to the next one. */
export type Answer = (res: ServerResponse, req: Received) => void;

export interface FakeServer extends AsyncDisposable {
  readonly url: string;
  readonly received: readonly Received[];
}

export async function fakeServer(
  ...answers: readonly Answer[]
): Promise<FakeServer> {
  const received: Received[] = [];
  const server = createServer(async (req, res) => {
    const body = await text(req);
    const {method = '', url = '', headers} = req;
    received.push({method, url, headers, body});
    const answer = answers[received.length - 1];
    if (answer) answer(res, received.at(-1)!);
    else res.destroy();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    received,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      server.close();
      await once(server, 'close');
    },
  };
}

export function json(value: unknown): Answer {
  return res => {
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(value));
  };
}

export function refusal(status: number, error: object): Answer {
  return res => {
    res.statusCode = status;
    res.end(JSON.stringify({error: {message: 'no', ran: 'not-run', ...error}}));
  };
}

/** Sends text and then cuts the connection. */
export function cutAfter(chunk: string): Answer {
  return res => {
    res.write(chunk, () => res.destroy());
  };
}

/** Sends text and ends well. */
export function whole(chunk: string): Answer {
  return res => res.end(chunk);
}
