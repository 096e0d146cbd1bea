/** Schemas of orders, which change what an engine serves and in which role. */
import type {
  EngineRole,
  Fence,
  Order,
  OrderAction,
  OrderOutcome,
} from '@oathead/core';
import {z} from 'zod';
import {REFUSAL_SCHEMA} from '../request/refusal_schema.js';
import {schemaOf} from '../request/schema_of.js';

const FENCE_SCHEMA = schemaOf<Fence>()(
  z.object({
    token: z.number(),
    holder: z.string(),
  }),
);

const ENGINE_ROLE_SCHEMA = schemaOf<EngineRole>()(
  z.enum(['mixed', 'prefill', 'decode']),
);

const NAME = z.string().min(1);

const ORDER_ACTION_SCHEMA = schemaOf<OrderAction>()(
  z.discriminatedUnion('kind', [
    z.object({kind: z.literal('load-version'), model: NAME, version: NAME}),
    z.object({kind: z.literal('unload-version'), model: NAME, version: NAME}),
    z.object({kind: z.literal('load-adapter'), model: NAME, adapter: NAME}),
    z.object({kind: z.literal('unload-adapter'), model: NAME, adapter: NAME}),
    z.object({kind: z.literal('set-role'), role: ENGINE_ROLE_SCHEMA}),
  ]),
);

/** Schema of an order with its fencing token. */
export const ORDER_SCHEMA = schemaOf<Order>()(
  z.object({
    id: z.string().min(1),
    fence: FENCE_SCHEMA,
    action: ORDER_ACTION_SCHEMA,
  }),
);

/** Schema of the outcome of an order: taken or refused. */
export const ORDER_OUTCOME_SCHEMA = schemaOf<OrderOutcome>()(
  z.discriminatedUnion('kind', [
    z.object({kind: z.literal('taken')}),
    z.object({kind: z.literal('refused'), refusal: REFUSAL_SCHEMA}),
  ]),
);
