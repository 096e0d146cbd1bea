/**
 * Schema of the configuration of a target process. Whether values are sensible
 * is validated where operators write them: a target process that rejected a
 * whole configuration because of one value would keep running with an outdated
 * one.
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

/** Schema of the configuration of one target process. */
export const TARGET_CONFIG_SCHEMA = schemaOf<TargetConfig>()(
  z.object({
    revision: z.int().nonnegative(),
    pools: z.array(POOL_CONFIG_SCHEMA).readonly(),
    callerWeights: z.record(z.string(), z.number().nonnegative()).readonly(),
    blocked: z.array(z.string()).readonly(),
    leaving: z.boolean().optional(),
  }),
);
