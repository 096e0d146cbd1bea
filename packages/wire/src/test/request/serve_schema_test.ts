import type {
  Answer,
  Heartbeat,
  HeartbeatReply,
  Order,
  OrderOutcome,
  Refusal,
  ServeEvent,
  ServeRequest,
  TargetConfig,
  Work,
} from '@oathead/core';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {z} from 'zod';
import {
  HEARTBEAT_REPLY_SCHEMA,
  HEARTBEAT_SCHEMA,
} from '../../lib/connection/heartbeat_schema.js';
import {
  ORDER_OUTCOME_SCHEMA,
  ORDER_SCHEMA,
} from '../../lib/process/order_schema.js';
import {REFUSAL_SCHEMA} from '../../lib/request/refusal_schema.js';
import {
  SERVE_EVENT_SCHEMA,
  SERVE_REQUEST_SCHEMA,
} from '../../lib/request/serve_schema.js';
import {ANSWER_SCHEMA, WORK_SCHEMA} from '../../lib/request/work_schema.js';
import {TARGET_CONFIG_SCHEMA} from '../../lib/version/target_config_schema.js';
import {ANSWER, LOAD, REQUEST} from '../wire_fixture.js';

/** Every path of properties of a type, unions and arrays taken apart. */
type Paths<T> = T extends readonly (infer E)[]
  ? Paths<E>
  : T extends object
    ? string extends keyof T
      ? never
      : {
          [K in keyof T & string]-?: K | `${K}.${Paths<NonNullable<T[K]>>}`;
        }[keyof T & string]
    : never;
type Missing<T, S extends z.ZodType> = Exclude<Paths<T>, Paths<z.output<S>>>;

/**
 * A schema that lacks an optional field still fits its type, and would drop the
 * field in silence. This does not compile unless each field is there.
 */
function carries<T, S extends z.ZodType<T>>(
  t: ExecutionContext,
  schema: S,
  sample: T,
  ...missing: [Missing<T, S>] extends [never] ? [] : [Missing<T, S>]
): void {
  t.deepEqual(schema.parse(sample) as T, sample);
  t.is(missing.length, 0);
}

const FULL_REQUEST: Required<ServeRequest> = {
  ...REQUEST,
  dedupeKey: 'bank-a/k1',
  suspect: true,
  resume: {text: 'it ', tokens: 2},
  traceparent: '00-11-22-01',
};
const CONFIG: Required<TargetConfig> = {
  revision: 4,
  pools: [],
  callerWeights: {'bank-a': 2},
  blocked: ['f1'],
  leaving: true,
};
const ORDER: Order = {
  id: 'o1',
  fence: {token: 3, holder: 'e1'},
  action: {kind: 'load-adapter', model: 'review', adapter: 'bank-a'},
};
const HEARTBEAT: Required<Heartbeat> = {
  entryId: 'e1',
  cfgRevision: 4,
  cfg: CONFIG,
  orderFence: {token: 3, bootId: 'b1'},
};
const REFUSAL: Refusal = {kind: 'leaving', message: 'm', ran: 'not-run'};

test('every field of every message is carried', t => {
  carries<ServeRequest, typeof SERVE_REQUEST_SCHEMA>(
    t,
    SERVE_REQUEST_SCHEMA,
    FULL_REQUEST,
  );
  carries<Work, typeof WORK_SCHEMA>(t, WORK_SCHEMA, REQUEST.work);
  carries<Answer, typeof ANSWER_SCHEMA>(t, ANSWER_SCHEMA, ANSWER);
  carries<Refusal, typeof REFUSAL_SCHEMA>(t, REFUSAL_SCHEMA, REFUSAL);
  carries<ServeEvent, typeof SERVE_EVENT_SCHEMA>(t, SERVE_EVENT_SCHEMA, {
    kind: 'refused',
    refusal: REFUSAL,
  });
  carries<TargetConfig, typeof TARGET_CONFIG_SCHEMA>(
    t,
    TARGET_CONFIG_SCHEMA,
    CONFIG,
  );
  carries<Heartbeat, typeof HEARTBEAT_SCHEMA>(t, HEARTBEAT_SCHEMA, HEARTBEAT);
  carries<HeartbeatReply, typeof HEARTBEAT_REPLY_SCHEMA>(
    t,
    HEARTBEAT_REPLY_SCHEMA,
    {bootId: 'b1', load: LOAD},
  );
  carries<Order, typeof ORDER_SCHEMA>(t, ORDER_SCHEMA, ORDER);
  carries<OrderOutcome, typeof ORDER_OUTCOME_SCHEMA>(t, ORDER_OUTCOME_SCHEMA, {
    kind: 'refused',
    refusal: REFUSAL,
  });
});

test('what does not fit is told with its path', t => {
  const broken = {...FULL_REQUEST, work: {...FULL_REQUEST.work, maxTokens: 0}};
  const parsed = SERVE_REQUEST_SCHEMA.safeParse(broken);
  t.is(parsed.error?.issues[0]?.path.join('.'), 'work.maxTokens');
});
