/**
 * Schemas of what operators write: every field checked, every problem listed
 * with its path, defaults filled in, so that a first `model` needs no field.
 */
import {failure, isSocketAddress, notRun, success} from '@oathead/core';
import type {
  Outcome,
  Problem,
  Refusal,
  ResourceKind,
  SpecByKind,
} from '@oathead/core';
import {z} from 'zod';
import {invalid, problemsOf} from './problems.js';

const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const NAME_MESSAGE =
  'must be 1 to 63 of a-z, 0-9, "." and "-", beginning with a letter or digit';
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
/** Two while a key is rotated. */
const MAX_KEY_HASHES = 2;
const MAX_POOLS = 64;
const MAX_WEIGHTS_LENGTH = 512;
const MAX_TOKENS_LIMIT = 1_000_000;
const MAX_CONCURRENT = 100_000;
const MAX_RATE = 1e9;
const MAX_AIM_MS = 600_000;
const MAX_BURST_SECONDS = 3_600;
const MAX_WEIGHT = 1_000;
const MAX_HARM = 100;

const name = z.string().regex(NAME_PATTERN, NAME_MESSAGE);
const positive = z.number().positive();
const count = z.number().int().positive();
const aimMs = positive.max(MAX_AIM_MS);

const batchPolicy = z.strictObject({
  throughputWeight: z.number().min(0).max(1).default(0.3),
  maxHarm: z.number().min(1).max(MAX_HARM).default(1.1),
});

const models = z
  .strictObject({
    type: z.enum(['model', 'service']).default('model'),
    batch: batchPolicy.prefault({}),
    firstTokenMs: aimMs.default(390),
    betweenTokensMs: aimMs.default(40),
    maxOnline: count.max(MAX_CONCURRENT).default(64),
    maxTokens: count.max(MAX_TOKENS_LIMIT).default(4_096),
    version: name.optional(),
  })
  .refine(spec => spec.type === 'model' || spec.version === undefined, {
    path: ['version'],
    message: 'a plain service has no version',
  });

const weightsOfModel = z.strictObject({
  model: name,
  weights: z.string().min(1).max(MAX_WEIGHTS_LENGTH),
});

const targets = z.strictObject({
  pools: z
    .array(name)
    .min(1)
    .max(MAX_POOLS)
    .refine(pools => new Set(pools).size === pools.length, {
      message: 'names a model or service twice',
    }),
  address: z.string().refine(isSocketAddress, {
    message: 'must be an IP number and a port, such as 10.0.0.7:7410',
  }),
  dataCentre: name,
  fenceCheck: z.enum(['fenced', 'unfenced', 'unchecked']).default('unfenced'),
  leaving: z.boolean().default(false),
});

const callers = z.strictObject({
  role: z.enum(['caller', 'operator']).default('caller'),
  keyHashes: z
    .array(z.string().regex(KEY_HASH_PATTERN, 'must be a SHA-256 in lower hex'))
    .min(1)
    .max(MAX_KEY_HASHES),
  weight: positive.max(MAX_WEIGHT).default(1),
});

const limits = z.strictObject({
  requestsPerSecond: positive.max(MAX_RATE).default(50),
  tokensPerSecond: positive.max(MAX_RATE).default(20_000),
  concurrent: count.max(MAX_CONCURRENT).default(64),
  burstSeconds: positive.max(MAX_BURST_SECONDS).default(2),
});

/** The schema of each kind's spec. */
export const SPEC_SCHEMAS: {
  readonly [K in ResourceKind]: z.ZodType<SpecByKind[K]>;
} = {
  models,
  adapters: weightsOfModel,
  versions: weightsOfModel,
  targets,
  callers,
  limits,
};

/**
 * @param kind - What an operator wrote as a kind.
 * @returns Whether resources of the kind exist.
 */
export function isResourceKind(kind: string): kind is ResourceKind {
  return Object.hasOwn(SPEC_SCHEMAS, kind);
}

/**
 * @param text - What an operator wrote as a name.
 * @returns What is wrong with it; empty when nothing is.
 */
export function nameProblems(text: string): readonly Problem[] {
  return NAME_PATTERN.test(text) ? [] : [{path: 'name', message: NAME_MESSAGE}];
}

/**
 * Checks what an operator wrote.
 *
 * @param kind - Kind of the resource, as written.
 * @param resourceName - Its name, as written.
 * @param spec - Its spec, as written.
 * @returns The spec with defaults filled in, or every problem at once.
 */
export function checkSpec<K extends ResourceKind>(
  kind: K,
  resourceName: string,
  spec: unknown,
): Outcome<SpecByKind[K], Refusal> {
  if (!isResourceKind(kind)) {
    return failure(notRun('not-found', `there is no kind "${String(kind)}"`));
  }
  const parsed = SPEC_SCHEMAS[kind].safeParse(spec);
  const problems = [
    ...nameProblems(resourceName),
    ...(parsed.success ? [] : problemsOf(parsed.error, ['spec'])),
  ];
  if (!parsed.success || problems.length > 0) {
    return failure(invalid(`${kind}/${resourceName} is not valid`, problems));
  }
  return success(parsed.data);
}
