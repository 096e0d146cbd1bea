/** Reads what operators send about resources. */
import {failure, success} from '@oathead/core';
import type {Outcome, Refusal} from '@oathead/core';
import {z} from 'zod';
import type {ChangeOptions} from '../process/config_store.js';
import {invalid, problemsOf} from '../version/problems.js';

/** A request about resources, as it came over HTTP. */
export interface ResourceRequest {
  readonly method: string;
  /** First part of the path below `/v1/resources`. */
  readonly kind?: string;
  /** Second part of the path. */
  readonly name?: string;
  /** Whether `?watch=true` was given. */
  readonly watch?: boolean;
  /** `?since=`, or the `Last-Event-ID` header of a watch that resumes. */
  readonly since?: string;
  /** The `If-Match` header. */
  readonly ifMatch?: string;
  /** The `If-None-Match` header: `*` declares only what is not there yet. */
  readonly ifNoneMatch?: string;
  /** The `Idempotency-Key` header: the same for each resend of one change. */
  readonly changeId?: string;
  /** The parsed JSON body. */
  readonly body?: unknown;
}

/** A resource as an operator writes it. */
export interface ResourceBody {
  readonly spec: unknown;
  /** As it was read; stands in for `If-Match`. */
  readonly resourceVersion?: number;
}

const ETAG_PATTERN = /^(?:W\/)?"?([0-9]{1,15})"?$/;
const REVISION_PATTERN = /^[0-9]{1,15}$/;
const CHANGE_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;

/** What a resource is read as can be sent back, its status is not looked at. */
const bodySchema = z.strictObject({
  kind: z.string().optional(),
  name: z.string().optional(),
  resourceVersion: z.number().int().positive().optional(),
  spec: z.record(z.string(), z.unknown()),
  status: z.unknown().optional(),
});

/**
 * @param req - A request that declares a resource.
 * @returns What it declares, or every problem of its body.
 */
export function parseBody(
  req: ResourceRequest,
): Outcome<ResourceBody, Refusal> {
  const parsed = bodySchema.safeParse(req.body);
  if (!parsed.success) {
    return failure(invalid('not a resource', problemsOf(parsed.error)));
  }
  const problems = (['kind', 'name'] as const)
    .filter(field => (parsed.data[field] ?? req[field]) !== req[field])
    .map(path => ({path, message: 'differs from the path of the request'}));
  if (problems.length > 0) {
    return failure(invalid('not the resource of the path', problems));
  }
  return success(parsed.data);
}

/**
 * @param req - A request that changes a resource.
 * @param resourceVersion - The version in its body; a header goes before it.
 * @returns The conditions of the change.
 */
export function changeOptionsOf(
  req: ResourceRequest,
  resourceVersion?: number,
): Outcome<ChangeOptions, Refusal> {
  const {changeId} = req;
  if (changeId !== undefined && !CHANGE_ID_PATTERN.test(changeId)) {
    const message = 'must be 1 to 128 of A-Z, a-z, 0-9, ".", "_", ":" and "-"';
    return headerProblem('Idempotency-Key', message);
  }
  if (req.ifNoneMatch !== undefined) {
    if (req.ifNoneMatch.trim() === '*') {
      return success({ifMatch: 'absent', changeId});
    }
    return headerProblem('If-None-Match', 'must be *');
  }
  if (req.ifMatch === undefined) {
    return success({ifMatch: resourceVersion, changeId});
  }
  const version = ETAG_PATTERN.exec(req.ifMatch.trim())?.[1];
  if (version === undefined) {
    return headerProblem('If-Match', 'must be a resourceVersion, such as "12"');
  }
  return success({ifMatch: Number(version), changeId});
}

/**
 * @param since - What a watch is to go on from.
 * @returns The revision; undefined when none was given.
 */
export function parseSince(
  since: string | undefined,
): Outcome<number | undefined, Refusal> {
  if (since === undefined) return success(undefined);
  if (!REVISION_PATTERN.test(since)) {
    const problems = [{path: 'since', message: 'must be a revision'}];
    return failure(invalid('not a watch', problems));
  }
  return success(Number(since));
}

function headerProblem(path: string, message: string): Outcome<never, Refusal> {
  return failure(invalid('a header is not valid', [{path, message}]));
}
