/**
 * Schema of a target process's configuration. What values make sense is checked
 * where operators write them: a target process that refused a whole
 * configuration for one of them would be stuck at an old one.
 */
import type {BatchPolicy, PoolConfig, TargetConfig} from '@oathead/core';
import {z} from 'zod';

const BATCH_POLICY_SCHEMA = z.object({
  throughputWeight: z.number(),
  maxHarm: z.number().nonnegative(),
}) satisfies z.ZodType<BatchPolicy>;

const POOL_CONFIG_SCHEMA = z.object({
  pool: z.string().min(1),
  kind: z.enum(['model', 'service']),
  version: z.string().optional(),
  batch: BATCH_POLICY_SCHEMA,
  firstTokenMs: z.number().nonnegative(),
  betweenTokensMs: z.number().nonnegative(),
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
