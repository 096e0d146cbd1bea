/** Schema of refusals. */
import {REFUSAL_STATUS} from '@oathead/core';
import type {
  PlainRefusalKind,
  Problem,
  RunStatus,
  Refusal,
} from '@oathead/core';
import {z} from 'zod';
import {schemaOf} from './schema_of.js';

const PROBLEM_SCHEMA = schemaOf<Problem>()(
  z.object({
    path: z.string(),
    message: z.string(),
  }),
);

const RUN_STATUS_SCHEMA = schemaOf<RunStatus>()(
  z.enum(['not-run', 'may-have-run']),
);

/** Fields of all kinds of refusal. */
const COMMON_FIELDS = {
  message: z.string(),
  ran: RUN_STATUS_SCHEMA,
  retryAfterMs: z.number().nonnegative().optional(),
};

/** Kinds of refusal that have fields of their own. */
const KINDS_WITH_FIELDS = new Set(['invalid-request', 'revision-conflict']);

const PLAIN_KINDS = Object.keys(REFUSAL_STATUS).filter(
  kind => !KINDS_WITH_FIELDS.has(kind),
) as PlainRefusalKind[];

/** Schema of a refusal, which states why a request was not answered. */
export const REFUSAL_SCHEMA = schemaOf<Refusal>()(
  z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('invalid-request'),
      problems: z.array(PROBLEM_SCHEMA).readonly().optional(),
      ...COMMON_FIELDS,
    }),
    z.object({
      kind: z.literal('revision-conflict'),
      currentVersion: z.number(),
      ...COMMON_FIELDS,
    }),
    z.object({kind: z.enum(PLAIN_KINDS), ...COMMON_FIELDS}),
  ]),
);
