/** The promise that an accepted job is worked on, by what targets saw. */
import {
  longestIdleSpan,
  MAX_IDLE_MS,
  type ObservedItem,
  type ReceivedRequest,
  type TargetRecord,
} from '@oathead/platform/stand_ins';
import type {JobRecord} from '../request/batch_load.js';
import type {Evidence, PromiseCheck} from './evidence.js';
import {RETENTION_MS} from './promise_bounds.js';
import {BATCH_SERVICE} from './soak_fleet.js';

const STATUS_OK = 200;
/** For the items that are left when the load ends, in milliseconds. */
const FINISH_MS = 18_000;
/** For so long before its end a job must not be left by all, in milliseconds. */
const LAST_SPAN_MS = 5000;
/** An item that a target has failed may rest for so long, in milliseconds. */
const FAILED_REST_MS = 20_000;

/** Promises about jobs by name. */
export const JOB_PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'an accepted job is not left lying': jobsAreWorkedOn,
  'no open job is left by all at the end': jobsAreWorkedOnAtTheEnd,
};

function jobsAreWorkedOn(evidence: Evidence): readonly string[] {
  const {fleet, jobs, endedAt} = evidence;
  const calm = fleet.disturbances.calmUntil(endedAt);
  const targets = targetsOf(evidence);
  return jobs.flatMap(job => {
    const {id, acceptedAt} = job;
    if (acceptedAt === undefined) return [];
    const items = itemsOf(job, targets.runs);
    const idle = longestIdleSpan(acceptedAt, items, targets, calm);
    if (!idle || idle.to - idle.from <= MAX_IDLE_MS) return [];
    const sinceMs = idle.from - acceptedAt;
    return [`${id} lay for ${idle.to - idle.from} ms, ${sinceMs} ms after 202`];
  });
}

/** The users' rule for the end of a day. */
function jobsAreWorkedOnAtTheEnd(evidence: Evidence): readonly string[] {
  const to = evidence.loadEndedAt + FINISH_MS;
  const last = [{from: to - LAST_SPAN_MS, to}];
  const targets = targetsOf(evidence);
  return evidence.jobs.flatMap(job => {
    const {id, acceptedAt} = job;
    if (acceptedAt === undefined) return [];
    const items = itemsOf(job, targets.runs);
    const idle = longestIdleSpan(acceptedAt, items, targets, last);
    if (!idle || idle.to - idle.from < LAST_SPAN_MS) return [];
    const open = items.filter(({doneAt}) => doneAt >= to).length;
    return [`${id}: ${open} items are open and at no target`];
  });
}

type Run = TargetRecord['runs'][number] & Pick<ReceivedRequest, 'status'>;

/** Items may run at servers of another service while their route is moved. */
function targetsOf({fleet}: Evidence): TargetRecord & {readonly runs: Run[]} {
  const engines = fleet.servers.filter(
    ({service}) => service === BATCH_SERVICE,
  );
  const runs = fleet.incarnations.flatMap(({server, service}) =>
    server.ran
      .filter(
        ({path}) => service === BATCH_SERVICE || path.startsWith('/files/'),
      )
      .map(withRest),
  );
  return {runs, slots: engines.length * fleet.slots};
}

function withRest(run: ReceivedRequest): Run {
  const {endedAt, status} = run;
  const hasFailed = status !== undefined && status !== STATUS_OK;
  if (!hasFailed || endedAt === undefined) return run;
  return {...run, endedAt: endedAt + FAILED_REST_MS, left: false};
}

/** Readers see a result some time after it is there, so the end of the last run
 * of an item counts as its end. */
function itemsOf(
  {id, items, results, listedAt, sentAt, endAskedAt = Infinity}: JobRecord,
  runs: readonly Run[],
): readonly ObservedItem[] {
  const listed = new Map(results.map((result, i) => [result.id, listedAt[i]!]));
  return [...Array(items).keys()].map(i => {
    const itemId = `${id}-${i}`;
    const seenAt = listed.get(itemId);
    if (seenAt === undefined) return {id: itemId, doneAt: endAskedAt};
    const ends = runs
      .filter(run => run.id === itemId && run.at < seenAt)
      .map(({endedAt = seenAt}) => endedAt);
    const ranUntil = ends.length > 0 ? Math.max(...ends) : seenAt;
    const overAt = sentAt + RETENTION_MS;
    return {
      id: itemId,
      doneAt: Math.min(seenAt, ranUntil, overAt, endAskedAt),
    };
  });
}
