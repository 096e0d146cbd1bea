/** The tRPC contract between an entry and a target process. */
import {LinkLostError} from '@oathead/core';
import type {LoadReport} from '@oathead/core';
import {initTRPC} from '@trpc/server';
import type {WebSocket} from 'ws';
import {z} from 'zod';
import {HEARTBEAT_SCHEMA} from '../connection/heartbeat_schema.js';
import {ATTACHMENT_SCHEMA} from '../request/attachment.js';
import {SERVE_REQUEST_SCHEMA} from '../request/serve_schema.js';
import {diffLoadReports} from './load_change.js';
import {ORDER_SCHEMA} from './order_schema.js';
import type {TargetHandler} from './target_handler.js';

/** Context of each call on a connection. */
export interface WireContext {
  readonly handler: TargetHandler;
  readonly socket: WebSocket;
}

/** Validation problems of an input, as sent in the `data` of a tRPC error. */
export interface WireProblems {
  readonly problems?: readonly {
    readonly path: string;
    readonly message: string;
  }[];
}

const t = initTRPC.context<WireContext>().create({
  errorFormatter({shape, error}) {
    const problems = problemsOf(error.cause);
    return {...shape, data: {...shape.data, stack: undefined, problems}};
  },
});

/** The tRPC procedures of a target process. */
export const targetRouter = t.router({
  hello: t.procedure.query(({ctx}) => ctx.handler.hello()),
  serve: t.procedure.input(SERVE_REQUEST_SCHEMA).subscription(async function* ({
    input,
    ctx,
    signal,
  }) {
    yield* ctx.handler.serve(input, callSignal(signal!, ctx.socket));
  }),
  attach: t.procedure.input(ATTACHMENT_SCHEMA).subscription(async function* ({
    input,
    ctx,
    signal,
  }) {
    yield* ctx.handler.attach(input, callSignal(signal!, ctx.socket));
  }),
  reports: t.procedure.subscription(async function* ({ctx, signal}) {
    let last: LoadReport | undefined;
    for await (const report of ctx.handler.reports(signal!)) {
      yield diffLoadReports(last, report);
      last = report;
    }
  }),
  heartbeat: t.procedure
    .input(HEARTBEAT_SCHEMA)
    .query(({input, ctx, signal}) => ctx.handler.heartbeat(input, signal!)),
  order: t.procedure
    .input(ORDER_SCHEMA)
    .mutation(({input, ctx, signal}) => ctx.handler.order(input, signal!)),
  release: t.procedure
    .input(z.array(z.string()))
    .mutation(({input, ctx}) => ctx.handler.release(input)),
  held: t.procedure.input(z.string()).subscription(async function* ({
    input,
    ctx,
    signal,
  }) {
    yield* ctx.handler.held(input, signal!);
  }),
  recall: t.procedure
    .input(z.string())
    .query(({input, ctx, signal}) => ctx.handler.recall(input, signal!)),
  cachedPrefixes: t.procedure.query(({ctx, signal}) =>
    ctx.handler.cachedPrefixes(signal!),
  ),
});

/** The type of {@link targetRouter}, for clients. */
export type TargetRouter = typeof targetRouter;

/**
 * Derives a signal whose abort reason tells a cancelled request from a broken
 * connection. tRPC aborts a subscription in the same way in both cases, but the
 * socket is still open only if the other side cancelled the subscription.
 *
 * @param signal - The signal of the subscription.
 * @param socket - The connection that carries the subscription.
 * @returns A signal that aborts with a `LinkLostError` if the connection broke.
 */
function callSignal(signal: AbortSignal, socket: WebSocket): AbortSignal {
  const call = new AbortController();
  const onAbort = () => {
    if (socket.readyState === socket.OPEN) call.abort();
    else call.abort(new LinkLostError('the connection of the request broke'));
  };
  if (signal.aborted) onAbort();
  else signal.addEventListener('abort', onAbort, {once: true});
  return call.signal;
}

function problemsOf(cause: unknown): WireProblems['problems'] {
  if (!(cause instanceof z.ZodError)) return undefined;
  return cause.issues.map(issue => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
}
