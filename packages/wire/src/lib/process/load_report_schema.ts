/** Schema of load reports. */
import type {LoadReport, ServedVersion} from '@oathead/core';
import {z} from 'zod';
import {schemaOf} from '../request/schema_of.js';

const SERVED_VERSION_SCHEMA = schemaOf<ServedVersion>()(
  z.object({
    pool: z.string(),
    version: z.string(),
    adapters: z.array(z.string()).readonly(),
    state: z.enum(['loading', 'ready', 'unloading', 'failed']),
  }),
);

/** Schema of the load report of one target. */
export const LOAD_REPORT_SCHEMA = schemaOf<LoadReport>()(
  z.object({
    targetId: z.string(),
    dataCentre: z.string(),
    sequence: z.int(),
    leaving: z.boolean(),
    cfgRevision: z.int(),
    versions: z.array(SERVED_VERSION_SCHEMA).readonly(),
    onlineRunning: z.number(),
    onlineQueued: z.number(),
    onlineCapacity: z.number(),
    batchRunning: z.number(),
    batchQueued: z.number(),
    batchRoom: z.number(),
    prefillTokens: z.number(),
    stepMs: z.number(),
    engineDown: z.boolean(),
  }),
);
