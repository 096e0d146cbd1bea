/** Schemas of heartbeats and their replies. */
import type {Heartbeat, HeartbeatReply} from '@oathead/core';
import {z} from 'zod';
import {LOAD_REPORT_SCHEMA} from '../process/load_report_schema.js';
import {schemaOf} from '../request/schema_of.js';
import {TARGET_CONFIG_SCHEMA} from '../version/target_config_schema.js';

/** Schema of the heartbeat that an entry sends to a target process. */
export const HEARTBEAT_SCHEMA = schemaOf<Heartbeat>()(
  z.object({
    entryId: z.string(),
    cfgRevision: z.int(),
    cfg: TARGET_CONFIG_SCHEMA.optional(),
    orderFence: z.object({token: z.number(), bootId: z.string()}).optional(),
  }),
);

/** Schema of a target process's reply to a heartbeat. */
export const HEARTBEAT_REPLY_SCHEMA = schemaOf<HeartbeatReply>()(
  z.object({
    bootId: z.string(),
    load: LOAD_REPORT_SCHEMA,
  }),
);
