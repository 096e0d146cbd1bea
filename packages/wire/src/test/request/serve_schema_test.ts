import type {Heartbeat, ServeEvent, ServeRequest} from '@oathead/core';
import test from 'ava';
import {HEARTBEAT_SCHEMA} from '../../lib/connection/heartbeat_schema.js';
import {
  SERVE_EVENT_SCHEMA,
  SERVE_REQUEST_SCHEMA,
} from '../../lib/request/serve_schema.js';
import {REQUEST} from '../wire_fixture.js';

const FULL_REQUEST: Required<ServeRequest> = {
  ...REQUEST,
  dedupeKey: 'bank-a/k1',
  suspect: true,
  resume: {text: 'it ', tokens: 2},
  traceparent: '00-11-22-01',
};
const HEARTBEAT: Required<Heartbeat> = {
  entryId: 'e1',
  cfgRevision: 4,
  cfg: {
    revision: 4,
    pools: [],
    callerWeights: {'bank-a': 2},
    blocked: ['f1'],
    leaving: true,
  },
  orderFence: {token: 3, bootId: 'b1'},
};
const REFUSED: ServeEvent = {
  kind: 'refused',
  refusal: {kind: 'leaving', message: 'm', ran: 'not-run', retryAfterMs: 5},
};

test('parsing preserves every field', t => {
  t.deepEqual<unknown, unknown>(
    SERVE_REQUEST_SCHEMA.parse(FULL_REQUEST),
    FULL_REQUEST,
  );
  t.deepEqual<unknown, unknown>(HEARTBEAT_SCHEMA.parse(HEARTBEAT), HEARTBEAT);
  t.deepEqual<unknown, unknown>(SERVE_EVENT_SCHEMA.parse(REFUSED), REFUSED);
});

test('reports the path of an invalid field', t => {
  const broken = {...FULL_REQUEST, work: {...FULL_REQUEST.work, maxTokens: 0}};
  const parsed = SERVE_REQUEST_SCHEMA.safeParse(broken);
  t.is(parsed.error?.issues[0]?.path.join('.'), 'work.maxTokens');
});
