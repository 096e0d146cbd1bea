/** Schemas of what callers want done, and of whole answers. */
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

const COUNT = z.int().nonnegative();

const CHAT_MESSAGE_SCHEMA = z.object({
  role: z.string(),
  content: z.string(),
}) satisfies z.ZodType<ChatMessage>;

const MODEL_INPUT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('prompt'), prompt: z.string()}),
  z.object({
    kind: z.literal('chat'),
    messages: z.array(CHAT_MESSAGE_SCHEMA).readonly(),
  }),
]) satisfies z.ZodType<ModelInput>;

const COMPLETION_SCHEMA = z.object({
  kind: z.literal('completion'),
  model: z.string().min(1),
  adapter: z.string().optional(),
  input: MODEL_INPUT_SCHEMA,
  maxTokens: z.int().positive(),
  temperature: z.number().optional(),
  seed: z.number().optional(),
  stop: z.array(z.string()).readonly().optional(),
}) satisfies z.ZodType<Completion>;

const SERVICE_CALL_SCHEMA = z.object({
  kind: z.literal('call'),
  service: z.string().min(1),
  method: z.string().min(1),
  path: z.string(),
  contentType: z.string().optional(),
  body: z.string(),
}) satisfies z.ZodType<ServiceCall>;

/** What a caller wants done. */
export const WORK_SCHEMA = z.discriminatedUnion('kind', [
  COMPLETION_SCHEMA,
  SERVICE_CALL_SCHEMA,
]) satisfies z.ZodType<Work>;

const USAGE_SCHEMA = z.object({
  promptTokens: COUNT,
  completionTokens: COUNT,
}) satisfies z.ZodType<Usage>;

const FINISH_REASON_SCHEMA = z.enum([
  'stop',
  'length',
]) satisfies z.ZodType<FinishReason>;

/** A whole answer. */
export const ANSWER_SCHEMA = z.discriminatedUnion('kind', [
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
]) satisfies z.ZodType<Answer>;
