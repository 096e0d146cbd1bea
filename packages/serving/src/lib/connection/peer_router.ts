/** What serving processes ask each other, over tRPC. */
import {failure} from '@oathead/core';
import type {RowStoreRelay, VersionedRow} from '@oathead/stores';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** Rows of tables as a process knows them. */
export type Snapshot = Readonly<Record<string, readonly VersionedRow[]>>;

/** What a process answers others with. */
export interface PeerAnswers {
  /** The own way to the store: a relay never relays. */
  readonly store: RowStoreRelay;
  /** @returns The tables that it follows. */
  readonly snapshot: () => Snapshot;
}

const REF = {table: z.string(), partition: z.string(), key: z.string()};
const BYTES = z.instanceof(Uint8Array);
const TRANSACTION = z.object({
  expect: z.array(z.object({...REF, version: z.number()})),
  puts: z.array(z.object({...REF, value: BYTES})),
  removes: z.array(z.object(REF)),
});
const QUERY = z.object({
  table: z.string(),
  partition: z.string(),
  from: z.string().optional(),
  to: z.string().optional(),
  limit: z.number().optional(),
});
const FEED = z.object({
  table: z.string(),
  after: z.number(),
  waitMs: z.number(),
});
const ROW = z.object({...REF, value: BYTES, version: z.number()});
const SNAPSHOT = z.record(z.string(), z.array(ROW));

/** Values of rows are bytes, which JSON can't carry. */
const MSGPACK = {
  serialize: (value: unknown) => Buffer.from(pack(value)).toString('base64'),
  deserialize: (text: string): unknown => unpack(Buffer.from(text, 'base64')),
};

const t = initTRPC.create({transformer: MSGPACK});

/** A call of a peer is given up after so long beyond what it waits, in ms: two
 * calls of the store that are slow, but no silent connection. */
const PEER_TIMEOUT_MS = 900;

function routerOf({store, snapshot}: PeerAnswers) {
  return t.router({
    transact: t.procedure
      .input(TRANSACTION)
      .mutation(({input}) => store.transact(input)),
    read: t.procedure.input(QUERY).mutation(({input}) => store.read(input)),
    changes: t.procedure
      .input(FEED)
      .mutation(({input: {table, after, waitMs}}) =>
        store.changes(table, after, waitMs),
      ),
    snapshot: t.procedure.mutation(() => snapshot()),
  });
}

/** The contract between serving processes. */
export type PeerRouter = ReturnType<typeof routerOf>;

/**
 * Answers other processes.
 *
 * @param answers - What they are answered with.
 * @param ip - Where to listen.
 * @param port - Where to listen.
 * @returns Ends it when disposed.
 */
export function servePeers(
  answers: PeerAnswers,
  ip: string,
  port: number,
): Disposable {
  const server = createHTTPServer({router: routerOf(answers)});
  server.listen(port, ip);
  return {
    [Symbol.dispose]: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Another process, as this one asks it. */
export class Peer implements RowStoreRelay {
  private readonly client;

  /** @param address - IP address and port of its answers. */
  constructor(readonly address: string) {
    this.client = createTRPCClient<PeerRouter>({
      links: [httpLink({url: `http://${address}`, transformer: MSGPACK})],
    });
  }

  /** {@inheritDoc RowStoreRelay.transact} */
  transact(transaction: Parameters<RowStoreRelay['transact']>[0]) {
    const input = TRANSACTION.parse(transaction);
    return answered(this.client.transact.mutate(input, within(0)));
  }

  /** {@inheritDoc RowStoreRelay.read} */
  read(query: Parameters<RowStoreRelay['read']>[0]) {
    return answered(this.client.read.mutate(query, within(0)));
  }

  /** {@inheritDoc RowStoreRelay.changes} */
  changes(table: string, after: number, waitMs: number) {
    const input = {table, after, waitMs};
    return answered(this.client.changes.mutate(input, within(waitMs)));
  }

  /** @returns The tables that it follows; undefined: it gave no answer. */
  async snapshot(): Promise<Snapshot | undefined> {
    try {
      const snapshot = await this.client.snapshot.mutate(undefined, within(0));
      return SNAPSHOT.parse(snapshot);
    } catch {
      // Seeds may be stale or down; the caller counts who answered.
      return undefined;
    }
  }
}

function within(waitMs: number) {
  return {signal: AbortSignal.timeout(waitMs + PEER_TIMEOUT_MS)};
}

/** A peer that gives no answer may have passed the call on. */
async function answered<T>(call: Promise<T>) {
  try {
    return await call;
  } catch (err) {
    return failure({kind: 'unknown', message: String(err)} as const);
  }
}
