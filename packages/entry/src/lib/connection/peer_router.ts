/** What entries ask of each other, over tRPC. */
import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import type {ConfigDelta} from '@oathead/config';
import type {ServeEvent, ServeOutcome} from '@oathead/core';
import {WORK_SCHEMA} from '@oathead/wire';
import type {UseReport, UseReports} from '../process/limit_gate.js';

/** A keyed request on its way to its home. */
export const FORWARDED_CALL = z.object({
  id: z.string(),
  caller: z.string(),
  work: WORK_SCHEMA,
  idempotent: z.boolean(),
  dedupeKey: z.string(),
  /** Time left when it was sent, in milliseconds. */
  timeoutMs: z.number(),
  stream: z.boolean(),
  traceparent: z.string().optional(),
});

/** A keyed request on its way to its home. */
export type ForwardedCall = z.infer<typeof FORWARDED_CALL>;

const CONFIG_QUESTION = z.object({
  entryId: z.string(),
  /** The revision that the asking entry serves by; -1 for none. */
  since: z.int(),
});

/** A question for what an entry knows of the configuration. */
export type ConfigQuestion = z.infer<typeof CONFIG_QUESTION>;

const USE_REPORTS = z.object({
  entryId: z.string(),
  reports: z.array(
    z.object({
      caller: z.string(),
      use: z.object({
        requests: z.number(),
        tokens: z.number(),
        concurrent: z.number(),
      }),
    }),
  ),
}) satisfies z.ZodType<UseReports>;

/** What one entry answers to others. */
export interface PeerHandler {
  serve(call: ForwardedCall, signal: AbortSignal): AsyncIterable<ServeEvent>;
  /** @returns What this entry knows of the configuration beyond that. */
  configSince(question: ConfigQuestion): ConfigDelta | undefined;
  /** @returns The kept outcome of a key whose home this entry is. */
  findOutcome(dedupeKey: string): Promise<ServeOutcome | undefined>;
  /** @returns What the same callers ask of all other entries. */
  reportUse(reports: UseReports): readonly UseReport[];
}

/** What each call gets. */
export interface PeerContext {
  readonly handler: PeerHandler;
}

const t = initTRPC.context<PeerContext>().create();

/** The procedures of an entry. */
export const peerRouter = t.router({
  serve: t.procedure.input(FORWARDED_CALL).subscription(async function* ({
    input,
    ctx,
    signal,
  }) {
    yield* ctx.handler.serve(input, signal!);
  }),
  configSince: t.procedure
    .input(CONFIG_QUESTION)
    .query(({input, ctx}) => ctx.handler.configSince(input)),
  findOutcome: t.procedure
    .input(z.string())
    .query(({input, ctx}) => ctx.handler.findOutcome(input)),
  reportUse: t.procedure
    .input(USE_REPORTS)
    .mutation(({input, ctx}) => ctx.handler.reportUse(input)),
});

/** The type of {@link peerRouter}, for clients. */
export type PeerRouter = typeof peerRouter;
