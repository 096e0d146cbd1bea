/** What callers may expect of planned stops in series, by the users' own rule. */
import type {ReceivedRequest} from '@oathead/platform/stand_ins';
import {isLong, isStream, LONG_ROUTES} from '../request/long_kinds.js';
import type {OnlineKind, OnlineRecord} from '../request/online_load.js';
import {runsById, type Evidence, type PromiseCheck} from './evidence.js';
import type {LongStop} from './long_stop_handlers.js';
import {GRACE_S} from './soak_fleet.js';

const MS_PER_SECOND = 1000;
const GRACE_MS = GRACE_S * MS_PER_SECOND;
/** The rule counts until so long after the signal, in milliseconds. */
const COUNTED_MS = GRACE_MS + MS_PER_SECOND;
/** A request that was sent up to this time after the signal may be cut in the last
 * sixth of the grace period, in milliseconds. */
const SENT_EARLY_MS = 3000;
const LAST_SIXTH_FROM_MS = (GRACE_MS * 5) / 6;
/** A connection may be closed that has brought a request for less, in milliseconds:
 * the two cross on their way. A second for a busy machine is in it, and the time in
 * which a body is sent. */
const LOSS_SLACK_MS = 2000;
/** How long routes of short requests let them take, in milliseconds. */
const SHORT_STREAM_MS = 4000;
const SHORT_PLAIN_MS = 1500;

/** A request that a stopping process did not answer, and its stop. */
interface Unanswered {
  readonly record: OnlineRecord;
  readonly stop: LongStop;
  readonly runs: readonly ReceivedRequest[];
}

/** The promises by name. */
export const LONG_STOP_PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'planned stops in series lose no request': nothingIsLost,
};

function nothingIsLost(evidence: Evidence): readonly string[] {
  const runs = runsById(evidence);
  return evidence.online
    .flatMap(record => unansweredOf(evidence, record, runs.get(record.id)))
    .filter(isLost)
    .map(describe);
}

function unansweredOf(
  {fleet}: Evidence,
  record: OnlineRecord,
  runs: readonly ReceivedRequest[] = [],
): readonly Unanswered[] {
  const {pid, status, failure, endedAt} = record;
  const stop = fleet.longStops.find(one => one.pid === pid);
  if (!stop || status !== undefined || failure === 'unconnected') return [];
  const sinceStopMs = endedAt - stop.stoppedAt;
  if (sinceStopMs < 0 || sinceStopMs > COUNTED_MS) return [];
  return [{record, stop, runs}];
}

function isLost(request: Unanswered): boolean {
  const {record, runs} = request;
  const tookMs = record.endedAt - record.sentAt;
  if (tookMs >= timeoutMs(record.kind)) return false;
  const isHeld = runs.length > 0 || tookMs > LOSS_SLACK_MS;
  return isHeld && !isWorkInLastSixth(request);
}

function isWorkInLastSixth({record, stop, runs}: Unanswered): boolean {
  const {stoppedAt} = stop;
  return (
    record.sentAt <= stoppedAt + SENT_EARLY_MS &&
    runs.some(({endedAt = Infinity}) => {
      return endedAt >= stoppedAt + LAST_SIXTH_FROM_MS;
    })
  );
}

function timeoutMs(kind: OnlineKind): number {
  if (isLong(kind)) return LONG_ROUTES[kind].timeoutMs;
  return isStream(kind) ? SHORT_STREAM_MS : SHORT_PLAIN_MS;
}

function describe({record, stop, runs}: Unanswered): string {
  const {id, kind, place, sentAt, endedAt, text} = record;
  const {stoppedAt} = stop;
  return (
    `${id} ${kind} at ${place}: sent ${sentAt - stoppedAt} ms after its stop ` +
    `began, cut at ${endedAt - stoppedAt} ms with ${text.length} characters, ` +
    `${runs.length} runs`
  );
}
