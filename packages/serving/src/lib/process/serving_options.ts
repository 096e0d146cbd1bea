/**
 * Settings of the serving program itself: a validated JSON file, separate from
 * the settings of the platform.
 */
import {DEFAULT_LOG_BUFFER_BYTES} from '@oathead/observe';
import {z} from 'zod';

/** Schema of the settings of a serving program, which its operators choose. */
export const SERVING_OPTIONS = z.strictObject({
  /** Whether each hop of a request is written to the log as a span. */
  traces: z.enum(['off', 'log']).default('off'),
  /**
   * Maximum size of buffered log lines, in bytes; lines beyond it are dropped
   * and counted.
   */
  logBufferBytes: z.number().int().positive().default(DEFAULT_LOG_BUFFER_BYTES),
  /**
   * Whether this host sends placement requests to the coordinator of its data
   * centre on a large fleet. It replies to those of other hosts in any case.
   */
  coordinators: z.enum(['auto', 'off']).default('auto'),
  /**
   * Where a request that came back after a refusal, and can no longer be
   * answered within its latency objective, waits for a free slot: only while
   * the configuration has client accounts, always or never.
   */
  lateSlots: z.enum(['accounts', 'always', 'never']).default('accounts'),
  /**
   * Whether this host learns how fast each target is relative to its service,
   * from its own runs and from what other hosts tell, and sends fewer requests
   * to slow targets. Where all targets are alike, nothing depends on it.
   */
  targetSpeeds: z.enum(['learned', 'off']).default('learned'),
  /**
   * Where coordinators promise room to callers that are refused, and keep it
   * for their return: only while the configuration has client accounts, always
   * or never. Otherwise each host schedules the returns of its callers.
   */
  returnSchedule: z.enum(['accounts', 'always', 'never']).default('never'),
});

/** Settings of a serving program, with defaults filled in. */
export type ServingOptions = Readonly<z.infer<typeof SERVING_OPTIONS>>;

/** Settings in effect if no file is given. */
export const DEFAULT_SERVING_OPTIONS: ServingOptions = SERVING_OPTIONS.parse(
  {},
);
