/** Settings of an entry, as its JSON file holds them. */
import {TRACING_SETTINGS} from '@oathead/observe';
import {z} from 'zod';

const HASH = z.string().regex(/^[0-9a-f]{64}$/i, 'SHA-256 in hexadecimal');
const MS = z.number().positive();
const MIB = 1024 * 1024;

const TLS = z.strictObject({
  /** Files in PEM. */
  cert: z.string(),
  key: z.string(),
  /** Certificates that the other end's must lead to; asks for one. */
  ca: z.string().optional(),
});

/** Schema of an entry's settings. */
export const ENTRY_SETTINGS = z.strictObject({
  /** Names this entry in the fleet; a new one each time it is replaced. */
  entryId: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/),
  dataCentre: z.string().min(1),
  /** Where callers and operators connect. */
  listen: z.strictObject({
    host: z.string().default('127.0.0.1'),
    port: z.int().min(0).max(65_535),
    tls: TLS.optional(),
  }),
  /** Where the other entries connect. */
  peers: z.strictObject({
    host: z.string().default('127.0.0.1'),
    port: z.int().min(0).max(65_535),
    /** Certificates of both ends, between the system's own processes. */
    tls: TLS.extend({ca: z.string()}).optional(),
    /** How others reach it; the address it listens on where absent. */
    advertise: z.string().optional(),
  }),
  platform: z.discriminatedUnion('kind', [
    z.strictObject({kind: z.literal('memory')}),
    z.strictObject({kind: z.literal('http'), url: z.url()}),
  ]),
  /** Hashes of keys with an operator's rights, for the first declarations. */
  operatorKeyHashes: z.array(HASH).default([]),
  limits: z
    .strictObject({
      maxBodyBytes: z
        .int()
        .positive()
        .default(2 * MIB),
      maxJobBytes: z
        .int()
        .positive()
        .default(128 * MIB),
      maxHeaderBytes: z.int().positive().default(16_384),
      requestTimeoutMs: MS.default(60_000),
      maxConcurrent: z.int().positive().default(4096),
    })
    .prefault({}),
  requests: z
    .strictObject({
      defaultDeadlineMs: MS.default(60_000),
      maxDeadlineMs: MS.default(600_000),
      batchItemTimeoutMs: MS.default(600_000),
    })
    .prefault({}),
  answers: z
    .strictObject({
      flushMs: MS.default(1000),
      flushCount: z.int().positive().default(64),
      maxUnwritten: z.int().positive().default(20_000),
      retentionMs: MS.default(86_400_000),
    })
    .prefault({}),
  fleet: z
    .strictObject({
      heartbeatMs: MS.default(2000),
      hostListMs: MS.default(2000),
      entriesPerTarget: z.int().positive().default(8),
      farRoundTripMs: MS.default(2.5),
    })
    .prefault({}),
  membership: z
    .strictObject({
      shareCount: z.int().positive().default(64),
      leaseMs: MS.default(15_000),
      renewMs: MS.default(5000),
      marginMs: MS.default(2000),
      watchMs: MS.default(3000),
    })
    .prefault({}),
  /** Time for a planned stop, in milliseconds. */
  graceMs: MS.default(30_000),
  tracing: TRACING_SETTINGS,
});

/** An entry's settings. */
export type EntrySettings = z.infer<typeof ENTRY_SETTINGS>;
