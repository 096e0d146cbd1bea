/**
 * `POST /v1/chat/completions` and `POST /v1/completions` in the usual
 * OpenAI-style shape.
 */
import {z} from 'zod';
import type {Completion, ServeEvent} from '@oathead/core';

const DEFAULT_MAX_TOKENS = 256;
const MAX_STOPS = 16;

const COMMON = {
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  max_tokens: z.int().min(1).optional(),
  temperature: z.number().min(0).max(2).optional(),
  seed: z.int().optional(),
  stop: z.union([z.string(), z.array(z.string()).max(MAX_STOPS)]).optional(),
  stream: z.boolean().optional(),
};

const CONTENT_PART = z.object({type: z.literal('text'), text: z.string()});

const CHAT_BODY = z.object({
  ...COMMON,
  max_completion_tokens: z.int().min(1).optional(),
  messages: z
    .array(
      z.object({
        role: z.string().min(1),
        content: z.union([z.string(), z.array(CONTENT_PART)]),
      }),
    )
    .min(1),
});

const PROMPT_BODY = z.object({...COMMON, prompt: z.string().min(1)});

/** A completion with how its answer is wanted. */
export interface CompletionCall {
  readonly work: Completion;
  readonly stream: boolean;
}

/** Body of `POST /v1/chat/completions`. */
export const CHAT_CALL: z.ZodType<CompletionCall> = CHAT_BODY.transform(
  body => ({
    stream: body.stream ?? false,
    work: {
      ...commonWork(body, body.max_completion_tokens),
      input: {
        kind: 'chat',
        messages: body.messages.map(({role, content}) => ({
          role,
          content: contentText(content),
        })),
      },
    },
  }),
);

/** Body of `POST /v1/completions`. */
export const PROMPT_CALL: z.ZodType<CompletionCall> = PROMPT_BODY.transform(
  body => ({
    stream: body.stream ?? false,
    work: {
      ...commonWork(body),
      input: {kind: 'prompt', prompt: body.prompt},
    },
  }),
);

type CommonBody = z.infer<z.ZodObject<typeof COMMON>>;

function commonWork(
  body: CommonBody,
  maxCompletionTokens?: number,
): Omit<Completion, 'input'> {
  const stop = typeof body.stop === 'string' ? [body.stop] : body.stop;
  return {
    kind: 'completion',
    model: body.model,
    maxTokens: maxCompletionTokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    ...(body.adapter === undefined ? {} : {adapter: body.adapter}),
    ...(body.temperature === undefined ? {} : {temperature: body.temperature}),
    ...(body.seed === undefined ? {} : {seed: body.seed}),
    ...(stop === undefined ? {} : {stop}),
  };
}

function contentText(
  content: string | readonly {readonly text: string}[],
): string {
  if (typeof content === 'string') return content;
  return content.map(part => part.text).join('');
}

/** How the answers of one route are written. */
export interface CompletionFormat {
  /** A whole answer. */
  whole(head: AnswerHead, done: DoneEvent): unknown;
  /** A part of a stream. */
  part(head: AnswerHead, text: string): unknown;
  /** The last part of a stream. */
  last(head: AnswerHead, done: DoneEvent): unknown;
}

/** What every part of an answer carries. */
export interface AnswerHead {
  readonly id: string;
  readonly model: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
}

/** The end of an answered completion. */
export type DoneEvent = Extract<ServeEvent, {readonly kind: 'done'}>;

/** Answers of `POST /v1/chat/completions`. */
export const CHAT_FORMAT: CompletionFormat = {
  whole: (head, done) => ({
    ...head,
    object: 'chat.completion',
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: textOf(done)},
        finish_reason: finishReasonOf(done),
      },
    ],
    usage: usageOf(done),
  }),
  part: (head, text) => ({
    ...head,
    object: 'chat.completion.chunk',
    choices: [{index: 0, delta: {content: text}, finish_reason: null}],
  }),
  last: (head, done) => ({
    ...head,
    object: 'chat.completion.chunk',
    choices: [{index: 0, delta: {}, finish_reason: finishReasonOf(done)}],
    usage: usageOf(done),
  }),
};

/** Answers of `POST /v1/completions`. */
export const PROMPT_FORMAT: CompletionFormat = {
  whole: (head, done) => ({
    ...head,
    object: 'text_completion',
    choices: [
      {index: 0, text: textOf(done), finish_reason: finishReasonOf(done)},
    ],
    usage: usageOf(done),
  }),
  part: (head, text) => ({
    ...head,
    object: 'text_completion',
    choices: [{index: 0, text, finish_reason: null}],
  }),
  last: (head, done) => ({
    ...head,
    object: 'text_completion',
    choices: [{index: 0, text: '', finish_reason: finishReasonOf(done)}],
    usage: usageOf(done),
  }),
};

function textOf({answer}: DoneEvent): string {
  return answer.kind === 'completion' ? answer.text : answer.body;
}

function finishReasonOf({answer}: DoneEvent): string {
  return answer.kind === 'completion' ? answer.finishReason : 'stop';
}

function usageOf({answer}: DoneEvent): unknown {
  if (answer.kind !== 'completion') return undefined;
  const {promptTokens, completionTokens} = answer.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
