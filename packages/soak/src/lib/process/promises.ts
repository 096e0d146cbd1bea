/** The promises of the system, checked by what callers and targets saw. */
import type {ReceivedRequest} from '@oathead/platform/stand_ins';
import type {JobRecord} from '../request/batch_load.js';
import {wholeStream, wholeText} from '../request/expected_text.js';
import {isStream} from '../request/long_kinds.js';
import {eventsUpTo, type OnlineRecord} from '../request/online_load.js';
import {ACCOUNT_PROMISES} from './account_promises.js';
import {CALM_BOUND_MS} from './calm_changes.js';
import {
  allRuns,
  runsById,
  type Evidence,
  type PromiseCheck,
} from './evidence.js';
import {JOB_PROMISES} from './job_promises.js';
import {LONG_STOP_PROMISES} from './long_stop_promises.js';
import {POISON_PROMISES} from './poison_promises.js';
import {RETENTION_MS} from './promise_bounds.js';
import {TAKE_UP_PROMISES} from './take_up_promises.js';
import {VERSION_PROMISES} from './version_promises.js';

/** Answers that promise that the request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** First segments of the paths of requests that may run once only. */
const RUNS_ONCE: ReadonlySet<string> = new Set([
  'flags',
  'letters',
  'decisions',
]);
const STATUS_OK = 200;
/** Runs that fail before an item is given up, by its route. */
const MAX_ATTEMPTS = 3;
/** State of an item that is never run again. */
const GIVEN_UP = 'dead_letter';
/** As how many failed runs a whole answer counts: one 422 is enough. */
const FAILURE_WEIGHTS: ReadonlyMap<number | undefined, number> = new Map([
  [500, 1],
  [422, MAX_ATTEMPTS],
]);
/** The longest time for which a run keeps a program from hearing of a change,
 * the bound of two seconds, and a second for a busy machine, in milliseconds. */
const LEAVING_BOUND_MS = 12_000;
const END_BOUND_MS = 12_000;
/** An ended job's items may begin to run for so long with no fault at work, in
 * milliseconds: the bound of three seconds, and a second for a busy machine. */
const CALM_END_BOUND_MS = 4000;
/** A connection may be closed that has brought a request for less, in milliseconds:
 * the two cross on their way. A second for a busy machine is in it. */
const LOSS_SLACK_MS = 1200;

/** All promises by name. */
export const PROMISES: Readonly<Record<string, PromiseCheck>> = {
  'each caller gets the whole answer to its own request': wholeAnswers,
  'what arrives of a broken answer is its beginning': brokenAnswersBegin,
  'a failure with a seal or an ID is the own one of its request':
    failuresAreOwn,
  'a request that may run once only runs at most once': runsOnce,
  'what was refused as not run has not run': refusalsAreTrue,
  'an accepted item has one outcome, and its whole text': itemsAreWhole,
  'no item is given up before it may be': itemsAreNotGivenUpEarly,
  'the body of an open item can be read': bodiesAreKept,
  'what readers of a job see never changes': readersAgree,
  'a job that was refused at every try does not run': refusedJobsRest,
  'an ended job stops': endedJobsStop,
  ...JOB_PROMISES,
  ...VERSION_PROMISES,
  ...TAKE_UP_PROMISES,
  ...POISON_PROMISES,
  'a leaving target gets nothing new': leavingTargetsRest,
  'a configuration never goes back': configurationsStay,
  'a configuration is in force everywhere in time': configurationsArrive,
  ...ACCOUNT_PROMISES,
  'a planned stop cuts off nothing': stopsCutNothing,
  ...LONG_STOP_PROMISES,
  'no program ends by itself': programsLive,
};

function readersAgree({jobs}: Evidence): readonly string[] {
  return jobs.flatMap(({id, flaws}) => flaws.map(flaw => `${id}: ${flaw}`));
}

function programsLive({fleet}: Evidence): readonly string[] {
  return fleet.deaths;
}

function wholeAnswers({online}: Evidence): readonly string[] {
  return online
    .filter(({status}) => status === STATUS_OK)
    .flatMap(record => flawsOf(record));
}

function bodyOf({kind, path, takesUp}: OnlineRecord): string {
  if (!isStream(kind)) return 'answer to question';
  return wholeStream(path, takesUp ? eventsUpTo(takesUp) : 0);
}

function flawsOf(record: OnlineRecord): readonly string[] {
  const {id, path, text, answeredId, seal} = record;
  const expected = bodyOf(record);
  const flaws: string[] = [];
  if (text !== expected) flaws.push(`${id} ${path}: other text: ${text}`);
  if (answeredId !== id) flaws.push(`${id}: answer to ${answeredId}`);
  if (seal !== `seal-${id}`) flaws.push(`${id}: seal ${seal}`);
  return flaws;
}

/** What came before an answer broke off is its beginning, also where a stream
 * went on at another target. */
function brokenAnswersBegin({online}: Evidence): readonly string[] {
  return online
    .filter(({status}) => status === undefined)
    .filter(record => !bodyOf(record).startsWith(record.text))
    .map(({id, text}) => `${id} broke off after ${text}`);
}

/** A program's own failures have no seal. */
function failuresAreOwn(evidence: Evidence): readonly string[] {
  const given = new Set(
    allRuns(evidence).map(({id, status}) => `${id} ${status}`),
  );
  return evidence.online.flatMap(({id, status, answeredId, seal}) => {
    if (status === undefined || status === STATUS_OK) return [];
    const flaws: string[] = [];
    if (answeredId !== undefined && answeredId !== id)
      flaws.push(`${id}: ${status} to ${answeredId}`);
    if (seal !== undefined && !given.has(`${id} ${status}`))
      flaws.push(`${id}: ${status} with ${seal}, which no target gave`);
    return flaws;
  });
}

function runsOnce(evidence: Evidence): readonly string[] {
  const counts = new Map<string, number>();
  for (const {id, path} of allRuns(evidence))
    if (RUNS_ONCE.has(path.split('/')[1]!))
      counts.set(id, (counts.get(id) ?? 0) + 1);
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
}

function refusalsAreTrue(evidence: Evidence): readonly string[] {
  const ran = new Set(allRuns(evidence).map(({id}) => id));
  return evidence.online
    .filter(({id, status}) => NOT_RUN.has(status ?? 0) && ran.has(id))
    .map(({id, status}) => `${id} was answered ${status} and ran`);
}

function itemsAreWhole(evidence: Evidence): readonly string[] {
  return evidence.jobs.flatMap(job => {
    const flaws = job.results.flatMap(({id, state, text}) => {
      const path = `/files/${job.id}/${id.slice(job.id.length + 1)}`;
      const isTrue =
        state === GIVEN_UP ||
        (state === 'succeeded' && text === wholeText(path));
      return isTrue ? [] : [`${id} is ${state}: ${text}`];
    });
    const ids = job.results.map(({id}) => id);
    if (new Set(ids).size < ids.length) flaws.push(`${job.id}: ${ids}`);
    const open = job.acceptedAt !== undefined && job.endedAt === undefined;
    if (open && ids.length < job.items)
      flaws.push(`${job.id}: ${ids.length} of ${job.items} results`);
    return flaws;
  });
}

/**
 * What targets have said decides, over all their incarnations: a failure that
 * broke off, or was repeated on its connection, is not one more attempt.
 */
function itemsAreNotGivenUpEarly(evidence: Evidence): readonly string[] {
  const runs = runsById(evidence);
  return evidence.jobs.flatMap(job =>
    job.results
      .filter(({id, state}, i) => {
        const mayBe = isFailed(runs.get(id) ?? []) || isOver(job, i);
        return state === GIVEN_UP && !mayBe;
      })
      .map(({id}) => `${id}: ${answersOf(runs.get(id) ?? [])}`),
  );
}

/** @returns Whether targets have failed an item so often that it may be given
 * up. */
function isFailed(runs: readonly ReceivedRequest[]): boolean {
  const weights = runs
    .filter(({whole}) => whole)
    .map(({status}) => FAILURE_WEIGHTS.get(status) ?? 0);
  return weights.reduce((sum, weight) => sum + weight, 0) >= MAX_ATTEMPTS;
}

/** @returns Whether a job had ended, or its time was over, when its result at
 * this position was read first. */
function isOver(job: JobRecord, position: number): boolean {
  const {sentAt, endAskedAt, endedAt} = job;
  const listedAt = job.listedAt[position]!;
  const wasEnded = endedAt !== undefined && listedAt >= endAskedAt!;
  return wasEnded || listedAt >= sentAt + RETENTION_MS;
}

function answersOf(runs: readonly ReceivedRequest[]): string {
  const answers = runs.map(({at, status, whole}) => {
    return `${status ?? 'none'}${whole ? '' : ' broken off'} at ${at}`;
  });
  return `given up after ${answers.join(', ') || 'no run'}`;
}

/** An item that no target has finished may still have to run. */
function bodiesAreKept(evidence: Evidence): readonly string[] {
  const runs = runsById(evidence);
  return evidence.jobs.flatMap(({endAskedAt, bodyFlaws}) =>
    bodyFlaws
      .filter(({id, at, status}) => {
        const own = runs.get(id) ?? [];
        const isDone = own.some(run => run.whole && run.status === STATUS_OK);
        const wasEnded = at >= (endAskedAt ?? Infinity);
        return status === STATUS_OK || !(isDone || wasEnded || isFailed(own));
      })
      .map(({id, at, status}) => `${id}: ${status} at ${at}`),
  );
}

function refusedJobsRest(evidence: Evidence): readonly string[] {
  const ran = new Set(allRuns(evidence).map(({path}) => path.split('/')[2]));
  return evidence.jobs
    .filter(({tries}) => tries.every(status => NOT_RUN.has(status ?? 0)))
    .filter(({id, tries}) => tries.length > 0 && ran.has(id))
    .map(({id}) => `${id} was refused and ran`);
}

function endedJobsStop(evidence: Evidence): readonly string[] {
  const ended = new Map(evidence.jobs.map(({id, endedAt}) => [id, endedAt]));
  return allRuns(evidence)
    .filter(({path, at}) => {
      const endedAt = ended.get(path.split('/')[2] ?? '');
      if (endedAt === undefined) return false;
      const calm = endedAt >= evidence.calm.since;
      return at > endedAt + (calm ? CALM_END_BOUND_MS : END_BOUND_MS);
    })
    .map(({path}) => `${path} ran after its job was ended`);
}

function leavingTargetsRest({fleet, calm}: Evidence): readonly string[] {
  return fleet.incarnations.flatMap(({id, server}) => {
    const since = fleet.leavingSince.get(id) ?? Infinity;
    const boundMs = calm.left.has(id) ? CALM_BOUND_MS : LEAVING_BOUND_MS;
    return server.ran
      .filter(({arrivedAt}) => arrivedAt > since + boundMs)
      .map(({path, arrivedAt}) => {
        return `${id} got ${path} ${arrivedAt - since} ms after`;
      });
  });
}

function configurationsStay({online}: Evidence): readonly string[] {
  const known = new Set<string>();
  const flaws: string[] = [];
  for (const {kind, pid, path, status, place} of online) {
    if (kind !== 'extra' || status === undefined) continue;
    const route = `${pid} ${path.split('/')[1]}`;
    if (status === 200) known.add(route);
    if (status === 404 && known.has(route))
      flaws.push(`${place} forgot ${path}`);
  }
  return flaws;
}

function configurationsArrive({online, calm}: Evidence): readonly string[] {
  return online
    .filter(({sentAt}) => sentAt >= calm.routeKnownAt)
    .filter(({path, status}) => path.startsWith(calm.route) && status === 404)
    .map(({place, path}) => `${place} does not know ${path}`);
}

/**
 * What broke before a process was told to stop was not cut by its stop: a stream
 * that a target's reset broke off came to its end 12 s before the signal, and one
 * on a silent connection ran into its timeout 11.9 s before it.
 */
function stopsCutNothing(evidence: Evidence): readonly string[] {
  const ran = new Set(allRuns(evidence).map(({id}) => id));
  return evidence.online
    .filter(record => brokeInStop(evidence, record))
    .filter(({id, sentAt, endedAt}) => {
      return ran.has(id) || endedAt - sentAt > LOSS_SLACK_MS;
    })
    .map(({id, place}) => `${id} was cut at ${place}`);
}

/** A connection that was never made has asked nothing. */
function brokeInStop(
  {calm}: Evidence,
  {pid, status, endedAt, failure}: OnlineRecord,
): boolean {
  const stoppedAt = calm.stoppedAt.get(pid);
  if (stoppedAt === undefined || status !== undefined) return false;
  return endedAt >= stoppedAt && failure !== 'unconnected';
}
