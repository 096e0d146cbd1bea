/** What entries ask of each other, over tRPC. */
import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import type {ConfigDelta} from '@oathead/config';
import type {ServeEvent, ServeOutcome} from '@oathead/core';
import {WORK_SCHEMA} from '@oathead/wire';
import type {DemandReport, DemandReports} from '../process/limit_gate.js';

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

const DEMAND_REPORTS = z.object({
  entryId: z.string(),
  reports: z.array(
    z.object({
      caller: z.string(),
      demand: z.object({requests: z.number(), tokens: z.number()}),
    }),
  ),
}) satisfies z.ZodType<DemandReports>;

/** What one entry answers to others. */
export interface PeerHandler {
  serve(call: ForwardedCall, signal: AbortSignal): AsyncIterable<ServeEvent>;
  /** @returns What this entry knows of the configuration beyond `since`. */
  configSince(since: number): ConfigDelta | undefined;
  /** @returns The kept outcome of a key whose home this entry is. */
  findOutcome(dedupeKey: string): Promise<ServeOutcome | undefined>;
  /** @returns What the same callers ask of all other entries. */
  reportDemand(reports: DemandReports): readonly DemandReport[];
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
    .input(z.int())
    .query(({input, ctx}) => ctx.handler.configSince(input)),
  findOutcome: t.procedure
    .input(z.string())
    .query(({input, ctx}) => ctx.handler.findOutcome(input)),
  reportDemand: t.procedure
    .input(DEMAND_REPORTS)
    .mutation(({input, ctx}) => ctx.handler.reportDemand(input)),
});

/** The type of {@link peerRouter}, for clients. */
export type PeerRouter = typeof peerRouter;
