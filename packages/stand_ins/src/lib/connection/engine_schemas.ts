/** What the engine stand-in accepts over HTTP. */
import {z} from 'zod';

const COMPLETION = z.object({
  kind: z.literal('completion'),
  model: z.string(),
  adapter: z.string().optional(),
  input: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('prompt'), prompt: z.string()}),
    z.object({
      kind: z.literal('chat'),
      messages: z.array(z.object({role: z.string(), content: z.string()})),
    }),
  ]),
  maxTokens: z.number().int().positive(),
  temperature: z.number().optional(),
  seed: z.number().optional(),
  stop: z.array(z.string()).optional(),
});

/** Body of `POST /v1/generate`. */
export const ENGINE_REQUEST = z.object({
  id: z.string(),
  completion: COMPLETION,
  version: z.string().optional(),
  resume: z
    .object({text: z.string(), tokens: z.number().int().nonnegative()})
    .optional(),
  traceparent: z.string().optional(),
});

const VERSION = {model: z.string(), version: z.string()};
const ADAPTER = {model: z.string(), adapter: z.string()};

/** Body of `POST /v1/orders`. */
export const ORDER = z.object({
  id: z.string(),
  fence: z.object({token: z.number(), holder: z.string()}),
  action: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('load-version'), ...VERSION}),
    z.object({kind: z.literal('unload-version'), ...VERSION}),
    z.object({kind: z.literal('load-adapter'), ...ADAPTER}),
    z.object({kind: z.literal('unload-adapter'), ...ADAPTER}),
    z.object({
      kind: z.literal('set-role'),
      role: z.enum(['mixed', 'prefill', 'decode']),
    }),
  ]),
});

/** Body of `POST /v1/admin/faults`; JSON has no `Infinity`. */
export const ENGINE_FAULTS = z.object({
  refuses: z.boolean().optional(),
  hangs: z.boolean().optional(),
  breaksAfterTokens: z.number().int().positive().nullable().optional(),
  slowdown: z.number().positive().optional(),
});
