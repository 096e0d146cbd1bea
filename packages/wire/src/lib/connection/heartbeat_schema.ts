/** Schemas of heartbeats. */
import type {Heartbeat, HeartbeatReply} from '@oathead/core';
import {z} from 'zod';
import {LOAD_REPORT_SCHEMA} from '../process/load_report_schema.js';
import {schemaOf} from '../request/schema_of.js';
import {TARGET_CONFIG_SCHEMA} from '../version/target_config_schema.js';

/** The heartbeat that an entry sends. */
export const HEARTBEAT_SCHEMA = schemaOf<Heartbeat>()(
  z.object({
    entryId: z.string(),
    cfgRevision: z.int(),
    cfg: TARGET_CONFIG_SCHEMA.optional(),
    orderFence: z.object({token: z.number(), bootId: z.string()}).optional(),
  }),
);

/** What a target process answers to a heartbeat. */
export const HEARTBEAT_REPLY_SCHEMA = schemaOf<HeartbeatReply>()(
  z.object({
    bootId: z.string(),
    load: LOAD_REPORT_SCHEMA,
  }),
);
