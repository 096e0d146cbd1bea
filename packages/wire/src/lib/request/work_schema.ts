/** Schemas of the work that callers request and of complete answers. */
import type {
  Answer,
  ChatMessage,
  Completion,
  FinishReason,
  ModelInput,
  ServiceCall,
  Usage,
  Work,
} from '@oathead/core';
import {z} from 'zod';
import {schemaOf} from './schema_of.js';

const COUNT = z.int().nonnegative();

const CHAT_MESSAGE_SCHEMA = schemaOf<ChatMessage>()(
  z.object({
    role: z.string(),
    content: z.string(),
  }),
);

const MODEL_INPUT_SCHEMA = schemaOf<ModelInput>()(
  z.discriminatedUnion('kind', [
    z.object({kind: z.literal('prompt'), prompt: z.string()}),
    z.object({
      kind: z.literal('chat'),
      messages: z.array(CHAT_MESSAGE_SCHEMA).readonly(),
    }),
  ]),
);

const COMPLETION_SCHEMA = schemaOf<Completion>()(
  z.object({
    kind: z.literal('completion'),
    model: z.string().min(1),
    adapter: z.string().optional(),
    input: MODEL_INPUT_SCHEMA,
    maxTokens: z.int().positive(),
    temperature: z.number().optional(),
    seed: z.number().optional(),
    stop: z.array(z.string()).readonly().optional(),
  }),
);

const SERVICE_CALL_SCHEMA = schemaOf<ServiceCall>()(
  z.object({
    kind: z.literal('call'),
    service: z.string().min(1),
    method: z.string().min(1),
    path: z.string(),
    contentType: z.string().optional(),
    body: z.string(),
  }),
);

/** Schema of requested work: a completion or a call of a service. */
export const WORK_SCHEMA = schemaOf<Work>()(
  z.discriminatedUnion('kind', [COMPLETION_SCHEMA, SERVICE_CALL_SCHEMA]),
);

const USAGE_SCHEMA = schemaOf<Usage>()(
  z.object({
    promptTokens: COUNT,
    completionTokens: COUNT,
  }),
);

const FINISH_REASON_SCHEMA = schemaOf<FinishReason>()(
  z.enum(['stop', 'length']),
);

/** Schema of a complete answer. */
export const ANSWER_SCHEMA = schemaOf<Answer>()(
  z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('completion'),
      text: z.string(),
      usage: USAGE_SCHEMA,
      finishReason: FINISH_REASON_SCHEMA,
      version: z.string(),
    }),
    z.object({
      kind: z.literal('response'),
      status: z.int(),
      contentType: z.string().optional(),
      body: z.string(),
    }),
  ]),
);
