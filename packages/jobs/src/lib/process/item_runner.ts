/** Runs one item once on one target and applies the outcome to the item. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Tracer} from '@opentelemetry/api';
import {
  endToEndHeaders,
  RequestTrace,
  sendToTarget,
  type AbortReason,
  type ExchangeOutcome,
  type FailureDoubt,
  type PromptParts,
  type PromptSuspects,
  type Route,
  type SendContext,
  type SenderAccount,
  type Target,
} from '@oathead/gateway';
import type {Counters, EventLog} from '@oathead/core';
import type {RunSpeed} from './item_durations.js';
import {crashPauseMs} from './crash_pause.js';
import {idleTimeoutsAfter} from './item_idle_timeout.js';
import {ItemEvidence} from './item_evidence.js';
import {ItemText} from './item_text.js';
import {continueAt, type ItemWork} from './item_work.js';
import type {FailedResponse, OwnedJob} from './owned_job.js';
import {preemptionPauseMs} from './preemption_pause.js';

/** What a run of an item has received when it ends. */
export interface EndedRun extends RunSpeed {
  /** Whether the text of the item is complete. */
  readonly isComplete: boolean;
  /** Whether its target seems to have crashed when it began to answer. */
  readonly hasCrashed: boolean;
}

/** Dependencies for running items. */
export interface ItemRunContext extends SendContext {
  readonly log: EventLog;
  readonly counters: Counters;
  readonly promptSuspects: Pick<
    PromptSuspects,
    'blockedParts' | 'recordCompletedRun'
  >;
  readonly tracer: Tracer;
}

/**
 * Delay before an item is retried after a run that does not count as its
 * failure, in milliseconds: until the target may have recovered.
 */
const RETRY_DELAY_MS = {
  declined: 60,
  unsent: 60,
  broken: 100,
  unexpectedStatus: 500,
} as const;
/**
 * Deadline sent to the target, in milliseconds: several times the duration of
 * the longest response of a fully loaded engine.
 */
const RUN_DEADLINE_MS = 60_000;

/** Reasons of this host's own to end a run of a target that answers. */
const OWN_REASONS: ReadonlySet<AbortReason> = new Set(['yield', 'stop']);

const STATUS_UNPROCESSABLE = 422;
const STATUS_SERVER_ERROR = 500;

/**
 * Sends an item to a target and handles the end of the run.
 *
 * @param context - Connections, loads, log and tracer.
 * @param job - Job of the item.
 * @param work - The item, in stage `waiting`.
 * @param route - Route of the item's path.
 * @param target - Target that runs the item.
 * @param onEnd - Called when the run has ended, before its outcome is applied.
 */
export function runItem(
  context: ItemRunContext,
  job: OwnedJob,
  work: ItemWork,
  route: Route,
  target: Target,
  onEnd: (run: EndedRun) => void,
): void {
  const {item} = work;
  const startedAt = context.clock.now();
  const headers = {
    ...endToEndHeaders(item.headers),
    host: job.head.hostName,
  };
  work.runs++;
  const {softwareVersion} = target;
  const isAfresh = continueAt(work, softwareVersion);
  const trace = new RequestTrace(context.tracer, 'item', headers, {
    job: job.head.id,
    item: item.id,
  });
  const hop = trace.startTargetSpan(target.serverId, work.runs);
  const req = {
    requestId: item.id,
    method: 'POST',
    path: item.path,
    headers: context.protocol.requestHeaders(hop.headers, {
      requestId: item.id,
      serverId: target.serverId,
      deadlineMs: RUN_DEADLINE_MS,
      lastEventId: work.lastEventId,
      account: senderAccountOf(job),
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
    softwareVersion,
    isAfresh: isAfresh || undefined,
    run: work.runs,
    afterEvent: work.lastEventId,
  });
  const sink = new ItemText(work, context.clock);
  const evidence = new ItemEvidence(context, promptOf(context, work, target));
  const watched = evidence.watched(sink);
  const activeSend = sendToTarget(context, target, 'batch', req, watched);
  work.stage = {
    kind: 'running',
    targetId: target.id,
    control: activeSend.control,
  };
  void activeSend.end.then(end => {
    const endedAt = context.clock.now();
    if (end.kind === 'streamed') sink.complete();
    work.runTimeMs += endedAt - startedAt;
    work.idleTimeouts = idleTimeoutsAfter(work.idleTimeouts, {
      isSilent: end.kind === 'ended' && end.by === 'silent',
      isTargetActive: context.suspensions.hasActivitySince(
        target.id,
        (startedAt + endedAt) / 2,
      ),
      hasEvents: sink.texts > 0,
    });
    work.timeline.add({
      sentAtMs: startedAt,
      firstEventAtMs: sink.firstEventAtMs,
      endedAtMs: endedAt,
      isComplete: end.kind === 'streamed',
      isAborted: end.kind === 'ended' && OWN_REASONS.has(end.by),
    });
    const isPreempted = end.kind === 'ended' && end.by === 'yield';
    if (sink.texts > 0) work.fruitlessRuns = 0;
    else if (isPreempted) work.fruitlessRuns++;
    hop.end(end.kind);
    trace.end(end.kind === 'streamed' ? undefined : end.kind);
    const hasCrashed = evidence.recordOutcome(end);
    if (hasCrashed) work.crashes++;
    else if (evidence.hasLasted) work.crashes = 0;
    onEnd({
      texts: sink.texts,
      streamedMs: endedAt - (sink.firstEventAtMs ?? endedAt),
      isComplete: end.kind === 'streamed',
      hasCrashed,
    });
    handleRunEnd(context, job, work, end, target, hasCrashed);
  });
}

/**
 * @param context - Protocol of the headers.
 * @param work - An item.
 * @param target - Where it is to run.
 * @returns The parts of its prompt.
 */
export function promptOf(
  {protocol}: Pick<ItemRunContext, 'protocol'>,
  work: ItemWork,
  {service}: Pick<Target, 'service'>,
): PromptParts {
  work.sharedParts ??= protocol.readRequest(
    endToEndHeaders(work.item.headers) as IncomingHttpHeaders,
  ).sharedParts;
  return {service, sharedParts: work.sharedParts};
}

function senderAccountOf({
  head: {account},
}: OwnedJob): SenderAccount | undefined {
  return account === undefined ? undefined : {name: account};
}

function handleRunEnd(
  context: ItemRunContext,
  job: OwnedJob,
  work: ItemWork,
  end: ExchangeOutcome,
  target: Target,
  hasCrashed: boolean,
): void {
  const now = context.clock.now();
  const failed = failedRunOf(end, target);
  context.counters.count('item_runs', {end: end.kind});
  context.log.event('item-run-ended', {
    job: job.head.id,
    item: work.item.id,
    target: target.id,
    end: end.kind,
    reason: endReasonOf(end),
    doubt: failed?.doubt,
    failures: failed && !failed.doubt ? work.failures + 1 : undefined,
    crashes: work.crashes > 0 ? work.crashes : undefined,
    afterEvent: work.lastEventId,
  });
  if (end.kind === 'streamed') {
    job.succeed(work);
    return;
  }
  if (end.kind === 'ended') recordAbort(context, work, end.by);
  if (failed) {
    recordFailedTarget(work, target, now);
    handleFailedRun(job, work, failed, now);
    return;
  }
  const pauseMs = hasCrashed ? crashPauseMs(work.crashes) : 0;
  const delayMs = Math.max(retryDelayMsAfter(end, work), pauseMs);
  work.stage = {kind: 'waiting', notBefore: now + delayMs};
}

function recordFailedTarget(work: ItemWork, {id}: Target, now: number): void {
  const others = work.failedTargets.filter(failed => failed !== id);
  work.failedTargets = [...others, id];
  work.lastFailureAtMs = now;
}

function recordAbort(
  {counters}: ItemRunContext,
  work: ItemWork,
  by: AbortReason,
): void {
  counters.count('item_runs_aborted', {by});
  if (by === 'yield') work.preemptions++;
}

function handleFailedRun(
  job: OwnedJob,
  work: ItemWork,
  run: FailedResponse,
  now: number,
): void {
  const {status, doubt} = run;
  if (doubt === 'incomplete') {
    work.incompleteFailures++;
    work.stage = {kind: 'waiting', notBefore: now};
  } else if (status === STATUS_UNPROCESSABLE && doubt)
    job.doubtProcessable(work, run);
  else if (status === STATUS_UNPROCESSABLE) job.giveUp(work, 'unprocessable');
  else if (doubt) job.doubt(work, run);
  else job.fail(work, run);
}

/**
 * @returns The failure that a target has stated, completely or in part;
 *   undefined if it has stated none. One that is incomplete states nothing that
 *   an item could be given up for, but delays its next run.
 */
function failedRunOf(
  end: ExchangeOutcome,
  {id}: Target,
): FailedResponse | undefined {
  if (end.kind === 'answered')
    return failedRunWith(id, end.head.status, end.doubt);
  if (end.kind === 'broken' || (end.kind === 'ended' && end.by === 'silent'))
    return failedRunWith(id, end.failedStatus, 'incomplete');
  return undefined;
}

function failedRunWith(
  target: string,
  status: number | undefined,
  doubt: FailureDoubt | undefined,
): FailedResponse | undefined {
  return status === STATUS_SERVER_ERROR || status === STATUS_UNPROCESSABLE
    ? {target, status, doubt}
    : undefined;
}

function retryDelayMsAfter(
  {kind}: ExchangeOutcome,
  {fruitlessRuns}: ItemWork,
): number {
  if (kind === 'answered' || kind === 'streamed')
    return RETRY_DELAY_MS.unexpectedStatus;
  return kind === 'ended'
    ? preemptionPauseMs(fruitlessRuns)
    : RETRY_DELAY_MS[kind];
}

function endReasonOf(end: ExchangeOutcome): string | undefined {
  if (end.kind === 'ended') return end.by;
  if (end.kind === 'answered') return String(end.head.status);
  return 'reason' in end ? end.reason : undefined;
}
