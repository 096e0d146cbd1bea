/** RPC interface between serving processes, over tRPC. */
import type {IncomingMessage} from 'node:http';
import {ByteBuffer, failure} from '@oathead/core';
import type {RowStoreRelay, VersionedRow} from '@oathead/stores';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** Rows by table, as a process has them. */
export type Snapshot = Readonly<Record<string, readonly VersionedRow[]>>;

/** What a process offers to its peers. */
export interface PeerService {
  /**
   * Direct access to the store, so that a relayed call is never relayed again.
   */
  readonly store: RowStoreRelay;
  /** @returns The shared tables that this process watches. */
  readonly snapshot: () => Snapshot;
  /** Takes the head of a job that a peer has written in its name. */
  readonly learnJobHead: (row: VersionedRow) => void;
}

const ROW_REF = {table: z.string(), partition: z.string(), key: z.string()};
const BYTES = z.instanceof(Uint8Array);
const TRANSACTION = z.object({
  expect: z.array(z.object({...ROW_REF, version: z.number()})),
  puts: z.array(z.object({...ROW_REF, value: BYTES})),
  removes: z.array(z.object(ROW_REF)),
});
const READ_QUERY = z.object({
  table: z.string(),
  partition: z.string(),
  from: z.string().optional(),
  to: z.string().optional(),
  limit: z.number().optional(),
});
const CHANGES_QUERY = z.object({
  table: z.string(),
  after: z.number(),
  waitMs: z.number(),
});
const ROW = z.object({...ROW_REF, value: BYTES, version: z.number()});
const SNAPSHOT = z.record(z.string(), z.array(ROW));

/** Transformer for row values, which are bytes that JSON cannot represent. */
const MSGPACK = {
  serialize: (value: unknown) => Buffer.from(pack(value)).toString('base64'),
  deserialize: (text: string): unknown => unpack(Buffer.from(text, 'base64')),
};

const t = initTRPC.create({transformer: MSGPACK});

/**
 * Timeout of a call to a peer, in milliseconds, on top of the time for which
 * the call waits. It allows for two slow calls to the store, and ends calls on
 * a connection that no longer responds.
 */
const PEER_TIMEOUT_MARGIN_MS = 900;

/**
 * Maximum size of the body of a response of a peer, in bytes: several times all
 * shared tables. Bounds the memory that a peer can take by a body that doesn't
 * end.
 */
const MAX_RESPONSE_BYTES = 24 * 1024 * 1024;
/**
 * Maximum size of the body of a request of a peer, in bytes: several times the
 * largest transaction.
 */
const MAX_REQUEST_BYTES = 8 * 1024 * 1024;

function routerOf({store, snapshot, learnJobHead}: PeerService) {
  return t.router({
    transact: t.procedure
      .input(TRANSACTION)
      .mutation(({input}) => store.transact(input)),
    read: t.procedure
      .input(READ_QUERY)
      .mutation(({input}) => store.read(input)),
    changes: t.procedure
      .input(CHANGES_QUERY)
      .mutation(({input: {table, after, waitMs}}) =>
        store.changes(table, after, waitMs),
      ),
    snapshot: t.procedure.mutation(() => snapshot()),
    tellJobHead: t.procedure
      .input(ROW)
      .mutation(({input}) => learnJobHead(input)),
  });
}

/** Type of the RPC interface between serving processes. */
export type PeerRouter = ReturnType<typeof routerOf>;

/**
 * Serves calls of other processes.
 *
 * @param service - What this process offers to its peers.
 * @param ip - IP address to listen on.
 * @param port - TCP port to listen on.
 * @returns Closes the server and its connections when disposed.
 */
export function servePeers(
  service: PeerService,
  ip: string,
  port: number,
): Disposable {
  const server = createHTTPServer({
    router: routerOf(service),
    maxBodySize: MAX_REQUEST_BYTES,
  });
  server.on('request', closeIfEndless);
  server.listen(port, ip);
  return {
    [Symbol.dispose]: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Client of another serving process. */
export class PeerClient implements RowStoreRelay {
  private readonly client;

  /** @param address - IP address and port of the peer's server. */
  constructor(readonly address: string) {
    this.client = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${address}`,
          transformer: MSGPACK,
          fetch: fetchBounded,
        }),
      ],
    });
  }

  /** {@inheritDoc RowStoreRelay.transact} */
  transact(transaction: Parameters<RowStoreRelay['transact']>[0]) {
    const input = TRANSACTION.parse(transaction);
    return toOutcome(this.client.transact.mutate(input, callOptions(0)));
  }

  /** {@inheritDoc RowStoreRelay.read} */
  read(query: Parameters<RowStoreRelay['read']>[0]) {
    return toOutcome(this.client.read.mutate(query, callOptions(0)));
  }

  /** {@inheritDoc RowStoreRelay.changes} */
  changes(table: string, after: number, waitMs: number) {
    const input = {table, after, waitMs};
    return toOutcome(this.client.changes.mutate(input, callOptions(waitMs)));
  }

  /**
   * Tells the peer of a job that it owns.
   *
   * @param row - The job's head.
   * @returns Rejects if the peer did not take it, as one of an earlier build.
   */
  async tellJobHead(row: VersionedRow): Promise<void> {
    await this.client.tellJobHead.mutate(ROW.parse(row), callOptions(0));
  }

  /**
   * @returns The shared tables of the peer; undefined if it did not respond.
   */
  async snapshot(): Promise<Snapshot | undefined> {
    try {
      const snapshot = await this.client.snapshot.mutate(
        undefined,
        callOptions(0),
      );
      return SNAPSHOT.parse(snapshot);
    } catch {
      // Seeds may be stale or down. The caller counts the peers that responded.
      return undefined;
    }
  }
}

/** Closes the connection of a request whose body is too large. */
function closeIfEndless(req: IncomingMessage): void {
  let bytes = 0;
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_REQUEST_BYTES) req.socket.destroy();
  });
}

/** Reads a response up to the largest size that a peer sends. */
async function fetchBounded(
  ...call: Parameters<typeof fetch>
): Promise<Response> {
  const {status, headers, body} = await fetch(...call);
  const bytes = new ByteBuffer();
  // Leaving the loop closes the connection.
  for await (const chunk of body ?? []) {
    bytes.push(chunk as Uint8Array);
    if (bytes.length > MAX_RESPONSE_BYTES)
      throw new Error('response of the peer is too large');
  }
  return new Response(bytes.bytes(), {status, headers});
}

function callOptions(waitMs: number) {
  return {signal: AbortSignal.timeout(waitMs + PEER_TIMEOUT_MARGIN_MS)};
}

/**
 * Converts a failed call to the error `unknown`: a peer that did not respond
 * may have carried the call out.
 */
async function toOutcome<T>(call: Promise<T>) {
  try {
    return await call;
  } catch (err) {
    return failure({kind: 'unknown', message: String(err)} as const);
  }
}
