/** Errors that a peer sent in place of an answer. */
import {mayHaveRun} from '@oathead/core';
import type {Refusal} from '@oathead/core';
import {TRPCClientError} from '@trpc/client';
import type {WireProblems} from '../process/target_router.js';

/**
 * @param err - Why a call failed.
 * @returns What the peer refused: a message that it does not understand, or
 *     one that broke an invariant there. Undefined when the error came from no
 *     peer but from the connection.
 */
export function refusalOf(err: unknown): Refusal | undefined {
  if (!(err instanceof TRPCClientError) || !err.shape) return undefined;
  const data = err.data as ({code?: string} & WireProblems) | undefined;
  if (data?.code !== 'BAD_REQUEST') return mayHaveRun('internal', err.message);
  return {
    kind: 'invalid-request',
    message: 'the target process does not understand the message',
    ran: 'not-run',
    problems: data.problems,
  };
}
