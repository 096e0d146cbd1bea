/** Runs one item once at one target, and says what that means for the item. */
import type {Tracer} from '@opentelemetry/api';
import {
  dataOf,
  mayHaveCrashed,
  RequestTrace,
  sendToTarget,
  type AnswerHead,
  type CrashSuspects,
  type EventSink,
  type ExchangeEnd,
  type Route,
  type SendContext,
  type SenderAccount,
  type StreamEvent,
  type Target,
} from '@oathead/gateway';
import type {Counters, EventLog} from '@oathead/core';
import type {ItemWork} from './item_work.js';
import type {OwnedJob} from './owned_job.js';

/** What running items needs. */
export interface ItemRunContext extends SendContext {
  readonly log: EventLog;
  readonly counters: Counters;
  readonly crashes: CrashSuspects;
  readonly tracer: Tracer;
}

/** How long an item waits after an end that says nothing against it, in ms:
 * after it gave way, until the burst's next requests have found their places;
 * after an answer that is no answer, until a target may have come back. */
const WAIT_MS = {
  yield: 250,
  declined: 60,
  unsent: 60,
  broken: 100,
  odd: 500,
} as const;
/** The longest run that a target is asked for, in milliseconds: several times
 * the longest answer at a full engine. */
const LONGEST_RUN_MS = 60_000;

const STATUS_OK = 200;
const STATUS_IMPOSSIBLE = 422;
const STATUS_FAILED = 500;

/**
 * Sends an item and follows it to its end.
 *
 * @param context - Connections and loads.
 * @param job - Its job.
 * @param work - The item, waiting.
 * @param route - The route of its path.
 * @param target - Where it runs.
 * @param onDone - Called when the item has its whole text.
 */
export function runItem(
  context: ItemRunContext,
  job: OwnedJob,
  work: ItemWork,
  route: Route,
  target: Target,
  onDone: () => void,
): void {
  const {item} = work;
  const startedAt = context.clock.now();
  const headers = {...item.headers, host: job.head.hostName};
  work.runs++;
  const trace = new RequestTrace(context.tracer, 'item', headers, {
    job: job.head.id,
    item: item.id,
  });
  const hop = trace.toTarget(target.serverId, work.runs);
  const req = {
    requestId: item.id,
    method: 'POST',
    path: item.path,
    headers: context.protocol.requestHeaders(hop.headers, {
      requestId: item.id,
      serverId: target.serverId,
      deadlineMs: LONGEST_RUN_MS,
      lastEventId: work.lastEventId,
      account: senderOf(job),
    }),
    body: Buffer.from(item.body),
    firstEventId:
      work.lastEventId === undefined ? undefined : work.lastEventId + 1,
  };
  context.log.event('item-sent', {
    job: job.head.id,
    item: item.id,
    route: route.name,
    target: target.id,
    run: work.runs,
    afterEvent: work.lastEventId,
  });
  const sink = new TextSink(work);
  const sending = sendToTarget(context, target, 'batch', req, sink);
  work.stage = {
    kind: 'running',
    targetId: target.id,
    control: sending.control,
  };
  void sending.end.then(end => {
    work.ranMs += context.clock.now() - startedAt;
    hop.end(end.kind);
    trace.end(end.kind === 'streamed' ? undefined : end.kind);
    if (end.kind === 'streamed') onDone();
    if (sink.received || end.kind === 'answered')
      context.crashes.answered(work.print);
    else if (mayHaveCrashed(end)) context.crashes.broke(work.print, target.id);
    settle(context, job, work, end, target);
  });
}

function senderOf({head: {account}}: OwnedJob): SenderAccount | undefined {
  return account === undefined ? undefined : {name: account};
}

/** Collects the text of an item. */
class TextSink implements EventSink {
  /** Whether this run has brought anything. */
  received = false;

  constructor(private readonly work: ItemWork) {}

  events(events: readonly StreamEvent[], head: AnswerHead): boolean {
    if (head.status !== STATUS_OK) return true;
    this.received = true;
    for (const event of events) {
      this.work.texts.push(dataOf(event));
      this.work.lastEventId = event.id ?? this.work.lastEventId;
    }
    return true;
  }

  paused(): void {}
}

function settle(
  context: ItemRunContext,
  job: OwnedJob,
  work: ItemWork,
  end: ExchangeEnd,
  target: Target,
): void {
  const now = context.clock.now();
  context.counters.count('item_runs', {end: end.kind});
  context.log.event('item-run-ended', {
    job: job.head.id,
    item: work.item.id,
    target: target.id,
    end: end.kind,
    reason: reasonOf(end),
    afterEvent: work.lastEventId,
  });
  if (end.kind === 'streamed') {
    job.finish(work, 'succeeded');
    return;
  }
  if (end.kind === 'answered') {
    settleAnswer(job, work, end.head.status, now);
    return;
  }
  const wait = end.kind === 'ended' ? WAIT_MS.yield : WAIT_MS[end.kind];
  if (end.kind === 'ended' && end.by === 'silent') work.silentRuns++;
  work.stage = {kind: 'waiting', notBefore: now + wait};
}

function settleAnswer(
  job: OwnedJob,
  work: ItemWork,
  status: number,
  now: number,
): void {
  if (status === STATUS_IMPOSSIBLE) job.finish(work, 'failed');
  else if (status === STATUS_FAILED) job.fail(work);
  else work.stage = {kind: 'waiting', notBefore: now + WAIT_MS.odd};
}

function reasonOf(end: ExchangeEnd): string | undefined {
  if (end.kind === 'ended') return end.by;
  if (end.kind === 'answered') return String(end.head.status);
  return 'reason' in end ? end.reason : undefined;
}
