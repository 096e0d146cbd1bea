/** Routes for batch jobs. */
import type {BatchJobs, ItemResult, JobItem, JobRequest} from '@oathead/batch';
import {failure, success} from '@oathead/core';
import type {ConfigView, Outcome, Problem, Refusal} from '@oathead/core';
import {WORK_SCHEMA} from '@oathead/wire';
import {z} from 'zod';
import {jsonResponse, refusalResponse} from './api.js';
import type {ApiCall, ApiResponse} from './api.js';
import {checkValue, parseJson} from './body.js';
import {CHAT_CALL, PROMPT_CALL} from './completion_api.js';
import {modelProblem} from './model_check.js';
import type {Route} from './router.js';

/** What the batch routes need. */
export interface BatchRouteDeps {
  readonly jobs: BatchJobs;
  readonly cfg: ConfigView;
  /** Largest body of a job, in bytes. */
  readonly maxJobBytes: number;
}

const MAX_PROBLEMS = 20;
const ID = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/);

const ITEM: z.ZodType<JobItem> = z
  .strictObject({
    id: ID,
    idempotent: z.boolean().default(true),
    work: WORK_SCHEMA.optional(),
    chat: CHAT_CALL.optional(),
    completion: PROMPT_CALL.optional(),
  })
  .transform(({id, idempotent, work, chat, completion}, ctx) => {
    const given = [work, chat?.work, completion?.work].filter(w => w);
    if (given.length !== 1) {
      ctx.addIssue('exactly one of work, chat and completion');
      return z.NEVER;
    }
    return {id, idempotent, work: given[0]!};
  });

const JOB: z.ZodType<JobRequest> = z
  .strictObject({
    id: ID,
    items: z.array(ITEM).min(1),
    dueAt: z.number().positive().optional(),
  })
  .transform(({dueAt, ...job}) => ({
    ...job,
    ...(dueAt === undefined ? {} : {dueAt}),
  }));

/**
 * @param deps - The jobs behind the routes.
 * @returns The routes.
 */
export function batchRoutes(deps: BatchRouteDeps): readonly Route[] {
  const {jobs} = deps;
  return [
    {
      method: 'POST',
      path: '/v1/batch-jobs',
      access: 'caller',
      maxBodyBytes: deps.maxJobBytes,
      handle: call => submit(call, deps),
    },
    {
      method: 'GET',
      path: '/v1/batch-jobs',
      access: 'caller',
      handle: async ({identity}) => answer(await jobs.list(identity.name)),
    },
    {
      method: 'GET',
      path: '/v1/batch-jobs/{id}',
      access: 'caller',
      handle: call => statusOrWatch(call, jobs),
    },
    {
      method: 'GET',
      path: '/v1/batch-jobs/{id}/results',
      access: 'caller',
      handle: call => results(call, jobs),
    },
    {
      method: 'POST',
      path: '/v1/batch-jobs/{id}/cancel',
      access: 'caller',
      handle: async ({identity, params}) =>
        answer(await jobs.cancel(identity.name, params['id']!)),
    },
  ];
}

async function submit(
  call: ApiCall,
  deps: BatchRouteDeps,
): Promise<ApiResponse> {
  const req = parseJob(call);
  if (!req.ok) return refusalResponse(req.err);
  const wrong = checkItems(req.value.items, deps.cfg);
  if (wrong) return refusalResponse(wrong);
  return answer(await deps.jobs.accept(call.identity.name, req.value), 202);
}

function parseJob(call: ApiCall): Outcome<JobRequest, Refusal> {
  const type = call.headers['content-type'] ?? '';
  const isLines = /ndjson|jsonl|json-?lines/.test(type);
  const value = isLines ? jobOfLines(call) : parseJson(call.body);
  return value.ok ? checkValue(value.value, JOB) : value;
}

/** A job as one item a line; its id and due time are in the query. */
function jobOfLines({body, query}: ApiCall): Outcome<unknown, Refusal> {
  const items: unknown[] = [];
  for (const [index, line] of body.split('\n').entries()) {
    if (line.trim() === '') continue;
    const item = parseJson(line);
    if (!item.ok)
      return failure(
        invalid([{path: `line ${index + 1}`, message: 'not JSON'}]),
      );
    items.push(item.value);
  }
  const dueAt =
    query['dueAt'] === undefined ? {} : {dueAt: Number(query['dueAt'])};
  return success({id: query['id'], items, ...dueAt});
}

/** A model that is not declared makes no item that could ever be completed. */
function checkItems(
  items: readonly JobItem[],
  cfg: ConfigView,
): Refusal | undefined {
  const problems: Problem[] = [];
  for (const [index, {work}] of items.entries()) {
    const problem = modelProblem(work, cfg.current());
    if (problem)
      problems.push({...problem, path: `items.${index}.${problem.path}`});
    if (problems.length >= MAX_PROBLEMS) break;
  }
  return problems.length > 0 ? invalid(problems) : undefined;
}

async function statusOrWatch(
  call: ApiCall,
  jobs: BatchJobs,
): Promise<ApiResponse> {
  const {identity, params} = call;
  const status = await jobs.status(identity.name, params['id']!);
  if (!status.ok || call.query['watch'] !== 'true') return answer(status);
  const watched = jobs.watch(identity.name, params['id']!, call.signal);
  return {
    status: 200,
    headers: {'content-type': 'text/event-stream', 'cache-control': 'no-store'},
    body: watchFrames(watched),
  };
}

async function* watchFrames(
  watched: AsyncIterable<Outcome<unknown, Refusal>>,
): AsyncGenerator<string> {
  for await (const status of watched) {
    if (status.ok) yield `data: ${JSON.stringify(status.value)}\n\n`;
    else yield `event: error\ndata: ${JSON.stringify({error: status.err})}\n\n`;
  }
}

async function results(call: ApiCall, jobs: BatchJobs): Promise<ApiResponse> {
  const {identity, params, query} = call;
  const after = query['after'];
  const lines = await jobs.results(
    identity.name,
    params['id']!,
    after === undefined ? {} : {after},
  );
  if (!lines.ok) return refusalResponse(lines.err);
  return {
    status: 200,
    headers: {'content-type': 'application/x-ndjson'},
    body: resultText(lines.value),
  };
}

async function* resultText(
  lines: AsyncIterable<
    | {readonly kind: 'item'; readonly result: ItemResult}
    | {readonly kind: 'refused'; readonly refusal: Refusal}
  >,
): AsyncGenerator<string> {
  for await (const line of lines) {
    const value = line.kind === 'item' ? line.result : {error: line.refusal};
    yield JSON.stringify(value) + '\n';
  }
}

function answer(outcome: Outcome<unknown, Refusal>, status = 200): ApiResponse {
  if (!outcome.ok) return refusalResponse(outcome.err);
  return jsonResponse(outcome.value, status);
}

function invalid(problems: readonly Problem[]): Refusal {
  const {path, message} = problems[0]!;
  return {
    kind: 'invalid-request',
    message: `${path}: ${message}`,
    ran: 'not-run',
    problems,
  };
}
