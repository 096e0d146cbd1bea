/** Interprets errors that the target process sent instead of a response. */
import {mayHaveRun} from '@oathead/core';
import type {Refusal} from '@oathead/core';
import {TRPCClientError} from '@trpc/client';
import type {WireProblems} from '../process/target_router.js';

/**
 * Converts an error sent by the target process to a refusal.
 *
 * @param err - The error with which a call failed.
 * @returns An `invalid-request` refusal if the target process rejected the
 *     message as invalid, or an `internal` one if handling it failed there.
 *     Undefined if the error came from the connection and not from the target
 *     process.
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
