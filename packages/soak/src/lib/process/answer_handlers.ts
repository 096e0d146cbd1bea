/** Faults of the answers of several servers at once. */
import {sleep, SYSTEM_CLOCK} from '@oathead/core';
import {DEFAULT_ERRORS, type ServerFault} from '@oathead/platform/stand_ins';
import type {FaultCall} from './fault_call.js';

/** Faults of answers that strike together. */
const ANSWER_MIXES: ReadonlyArray<readonly ServerFault[]> = [
  ['late-answer'],
  ['late-answer-idle'],
  ['errors'],
  ['unframed'],
  ['late-answer', 'errors'],
  ['late-answer-idle', 'errors'],
  ['late-answer', 'refusals'],
  ['late-answer-idle', 'refusals'],
  ['unframed', 'errors'],
  ['late-answer', 'unframed', 'errors', 'refusals'],
];
/** What else befalls failures. */
const FAILURE_MIXES: ReadonlyArray<readonly ServerFault[]> = [
  ['errors'],
  ['errors', 'broken-failures'],
  ['errors', 'broken-failures'],
  ['errors', 'broken-failures', 'late-answer'],
  ['errors', 'unsealed'],
];
/** Which runs fail, and how: an item fails at some targets and not at others. */
const FAILURE_SHARES = [0.2, 0.4, 0.7, 1] as const;
const FAILURE_STATUSES = [500, 500, 500, 422] as const;
/** One server in so many answers badly, drawn for each. */
const MIXED_SHARE = 2;

/** Several servers answer badly: a request meets them at its next run again. */
export async function mixAnswers({
  fleet,
  random,
  forMs,
}: FaultCall): Promise<void> {
  const mix = ANSWER_MIXES[random.int(ANSWER_MIXES.length)]!;
  const struck = fleet.servers
    .filter(() => random.int(MIXED_SHARE) === 0)
    .map(({server}) => server);
  for (const server of struck) server.faults = new Set(mix);
  await sleep(SYSTEM_CLOCK, forMs);
  for (const server of struck) server.fault = 'none';
}

/** Several servers fail a share of their runs at once, some with broken answers. */
export async function failRuns({
  fleet,
  random,
  forMs,
}: FaultCall): Promise<void> {
  const mix = FAILURE_MIXES[random.int(FAILURE_MIXES.length)]!;
  const share = FAILURE_SHARES[random.int(FAILURE_SHARES.length)]!;
  const status = FAILURE_STATUSES[random.int(FAILURE_STATUSES.length)]!;
  const struck = fleet.servers
    .filter(() => random.int(MIXED_SHARE) === 0)
    .map(({server}) => server);
  for (const server of struck) {
    server.errors = {share, status};
    server.faults = new Set(mix);
  }
  await sleep(SYSTEM_CLOCK, forMs);
  for (const server of struck) {
    server.errors = DEFAULT_ERRORS;
    server.fault = 'none';
  }
}
