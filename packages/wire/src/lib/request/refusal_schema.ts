/** Schema of refusals. */
import {REFUSAL_STATUS} from '@oathead/core';
import type {PlainRefusalKind, Problem, Ran, Refusal} from '@oathead/core';
import {z} from 'zod';

const PROBLEM_SCHEMA = z.object({
  path: z.string(),
  message: z.string(),
}) satisfies z.ZodType<Problem>;

const RAN_SCHEMA = z.enum(['not-run', 'may-have-run']) satisfies z.ZodType<Ran>;

const COMMON = {
  message: z.string(),
  ran: RAN_SCHEMA,
  retryAfterMs: z.number().nonnegative().optional(),
};

const KINDS_WITH_FIELDS = new Set(['invalid-request', 'revision-conflict']);

const PLAIN_KINDS = Object.keys(REFUSAL_STATUS).filter(
  kind => !KINDS_WITH_FIELDS.has(kind),
) as PlainRefusalKind[];

/** Why a request was not answered. */
export const REFUSAL_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('invalid-request'),
    problems: z.array(PROBLEM_SCHEMA).readonly().optional(),
    ...COMMON,
  }),
  z.object({
    kind: z.literal('revision-conflict'),
    currentVersion: z.number(),
    ...COMMON,
  }),
  z.object({kind: z.enum(PLAIN_KINDS), ...COMMON}),
]) satisfies z.ZodType<Refusal>;
