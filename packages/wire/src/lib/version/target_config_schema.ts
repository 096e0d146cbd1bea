/** Schema of a target process's configuration. */
import type {BatchPolicy, PoolConfig, TargetConfig} from '@oathead/core';
import {z} from 'zod';

const BATCH_POLICY_SCHEMA = z.object({
  throughputWeight: z.number().min(0).max(1),
  maxHarm: z.number().min(1),
}) satisfies z.ZodType<BatchPolicy>;

const POOL_CONFIG_SCHEMA = z.object({
  pool: z.string().min(1),
  kind: z.enum(['model', 'service']),
  version: z.string().optional(),
  batch: BATCH_POLICY_SCHEMA,
  firstTokenMs: z.number().positive(),
  betweenTokensMs: z.number().positive(),
  maxOnline: z.int().nonnegative(),
}) satisfies z.ZodType<PoolConfig>;

/** The configuration of one target process. */
export const TARGET_CONFIG_SCHEMA = z.object({
  revision: z.int().nonnegative(),
  pools: z.array(POOL_CONFIG_SCHEMA).readonly(),
  callerWeights: z.record(z.string(), z.number().nonnegative()).readonly(),
  blocked: z.array(z.string()).readonly(),
  leaving: z.boolean().optional(),
}) satisfies z.ZodType<TargetConfig>;
