/** The settings file of a target process. */
import {TRACING_SETTINGS} from '@oathead/observe';
import {z} from 'zod';
import type {TargetServiceSettings} from './target_service.js';

const MIB = 1 << 20;
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

const MS = z.number().positive();
const BYTES = z.int().positive();

const LISTEN_SCHEMA = z.strictObject({
  host: z.string().min(1),
  /** 0 takes any free port. */
  port: z.int().min(0).max(65_535),
});

const MEMORY_SCHEMA = z.strictObject({
  attachMs: MS.default(MINUTE_MS),
  answerMs: MS.default(10 * MINUTE_MS),
  answerBytes: BYTES.default(32 * MIB),
  startedMs: MS.default(24 * HOUR_MS),
  startedCount: z.int().positive().default(100_000),
  heldBytes: BYTES.default(32 * MIB),
  heldMs: MS.default(6 * HOUR_MS),
});

const ENGINE_SCHEMA = z.strictObject({
  url: z.url(),
  fenceCheck: z.enum(['fenced', 'unfenced', 'unchecked']),
  probeMs: MS.default(250),
  probeTimeoutMs: MS.default(1_000),
  orderTimeoutMs: MS.default(10_000),
});

const LOAD_SCHEMA = z.strictObject({
  pushMs: z.number().min(50).default(50),
  bytesPerSecond: z.number().positive().default(10_000),
});

/** What a settings file of a target process must look like. */
export const TARGET_SETTINGS = z
  .strictObject({
    targetId: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Where entries connect. */
    listen: LISTEN_SCHEMA,
    /** Where health and metrics are read. */
    http: LISTEN_SCHEMA,
    engine: ENGINE_SCHEMA.optional(),
    /** Plain services by name. */
    services: z.record(z.string(), z.strictObject({url: z.url()})).default({}),
    /** Longest wait for requests in flight on a stop. */
    graceMs: MS.default(30_000),
    attachGraceMs: MS.default(2_000),
    coalesceMs: z.number().nonnegative().default(10),
    memory: MEMORY_SCHEMA.prefault({}),
    load: LOAD_SCHEMA.prefault({}),
    tracing: TRACING_SETTINGS,
  })
  .refine(({engine, services}) => engine || Object.keys(services).length > 0, {
    path: ['engine'],
    message: 'needs an engine or at least one service',
  });

/** The settings of a target process, defaults filled in. */
export type TargetSettings = z.infer<typeof TARGET_SETTINGS>;

/**
 * @param settings - As read from the file.
 * @returns The part that the service needs.
 */
export function serviceSettings(
  settings: TargetSettings,
): TargetServiceSettings {
  return {
    targetId: settings.targetId,
    dataCentre: settings.dataCentre,
    attachGraceMs: settings.attachGraceMs,
    coalesceMs: settings.coalesceMs,
    memory: settings.memory,
    engine: settings.engine,
    load: settings.load,
  };
}
