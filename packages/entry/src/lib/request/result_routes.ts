/** Route on which the answer of a keyed request stays readable. */
import {notRun} from '@oathead/core';
import type {ServeOutcome} from '@oathead/core';
import {jsonResponse, refusalResponse} from './api.js';
import type {ApiCall, ApiResponse} from './api.js';
import type {Route} from './router.js';

/** Finds the outcome of a key, wherever it is kept. */
export type FindOutcome = (
  dedupeKey: string,
) => Promise<ServeOutcome | undefined>;

/**
 * @param find - Finds the outcome of a key.
 * @returns The route.
 */
export function resultRoutes(find: FindOutcome): readonly Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/results/{id}',
      access: 'caller',
      handle: call => readResult(call, find),
    },
  ];
}

async function readResult(
  call: ApiCall,
  find: FindOutcome,
): Promise<ApiResponse> {
  // A caller's own name is part of the key: it cannot name another's answer.
  const outcome = await find(`${call.identity.name}/${call.params['id']}`);
  if (!outcome) {
    return refusalResponse(notRun('not-found', 'no answer is kept under it'));
  }
  if (outcome.kind === 'done') return jsonResponse({answer: outcome.answer});
  if (outcome.kind === 'refused') return refusalResponse(outcome.refusal);
  return refusalResponse(notRun('not-found', 'it has not ended'));
}
