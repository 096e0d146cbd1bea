/** Schemas of a request to a target process and of its stream of events. */
import type {
  PartialAnswer,
  ServeClass,
  ServeEvent,
  ServeRequest,
} from '@oathead/core';
import {z} from 'zod';
import {REFUSAL_SCHEMA} from './refusal_schema.js';
import {schemaOf} from './schema_of.js';
import {ANSWER_SCHEMA, WORK_SCHEMA} from './work_schema.js';

const SERVE_CLASS_SCHEMA = schemaOf<ServeClass>()(z.enum(['online', 'batch']));

const PARTIAL_ANSWER_SCHEMA = schemaOf<PartialAnswer>()(
  z.object({
    text: z.string(),
    tokens: z.int().nonnegative(),
  }),
);

/** Schema of a request to a target process; applied to each request. */
export const SERVE_REQUEST_SCHEMA = schemaOf<ServeRequest>()(
  z.object({
    id: z.string().min(1),
    attempt: z.int().positive(),
    entryId: z.string(),
    caller: z.string(),
    class: SERVE_CLASS_SCHEMA,
    work: WORK_SCHEMA,
    idempotent: z.boolean(),
    dedupeKey: z.string().min(1).optional(),
    timeoutMs: z.number().nonnegative(),
    promptTokens: z.int().nonnegative(),
    stream: z.boolean(),
    suspect: z.boolean().optional(),
    resume: PARTIAL_ANSWER_SCHEMA.optional(),
    traceparent: z.string().optional(),
  }),
);

/**
 * Schema of the events of a request. The link does not validate events against
 * it: between two sides of the same build, validation would only cost processor
 * time on every token.
 */
export const SERVE_EVENT_SCHEMA = schemaOf<ServeEvent>()(
  z.discriminatedUnion('kind', [
    z.object({kind: z.literal('started'), version: z.string()}),
    z.object({
      kind: z.literal('tokens'),
      index: z.int().nonnegative(),
      count: z.int().positive(),
      text: z.string(),
    }),
    z.object({kind: z.literal('done'), answer: ANSWER_SCHEMA}),
    z.object({kind: z.literal('yielded'), partial: PARTIAL_ANSWER_SCHEMA}),
    z.object({kind: z.literal('refused'), refusal: REFUSAL_SCHEMA}),
  ]),
);
