/**
 * Schema of a target process's configuration. What values make sense is checked
 * where operators write them: a target process that refused a whole
 * configuration for one of them would be stuck at an old one.
 */
import type {BatchPolicy, PoolConfig, TargetConfig} from '@oathead/core';
import {z} from 'zod';
import {schemaOf} from '../request/schema_of.js';

const BATCH_POLICY_SCHEMA = schemaOf<BatchPolicy>()(
  z.object({
    throughputWeight: z.number(),
    maxHarm: z.number().nonnegative(),
  }),
);

const POOL_CONFIG_SCHEMA = schemaOf<PoolConfig>()(
  z.object({
    pool: z.string().min(1),
    kind: z.enum(['model', 'service']),
    version: z.string().optional(),
    batch: BATCH_POLICY_SCHEMA,
    firstTokenMs: z.number().nonnegative(),
    betweenTokensMs: z.number().nonnegative(),
    maxOnline: z.int().nonnegative(),
  }),
);

/** The configuration of one target process. */
export const TARGET_CONFIG_SCHEMA = schemaOf<TargetConfig>()(
  z.object({
    revision: z.int().nonnegative(),
    pools: z.array(POOL_CONFIG_SCHEMA).readonly(),
    callerWeights: z.record(z.string(), z.number().nonnegative()).readonly(),
    blocked: z.array(z.string()).readonly(),
    leaving: z.boolean().optional(),
  }),
);
