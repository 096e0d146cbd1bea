/** The end of a request, from its events. */
import {isFinalEvent, mayHaveRun} from '@oathead/core';
import type {Refusal, ServeEvent, ServeOutcome} from '@oathead/core';

/** The refusal of a request whose caller has gone. */
export const GIVEN_UP = mayHaveRun('cancelled', 'the caller has gone');

/**
 * @param events - Events of one request.
 * @returns The final one, or a refusal when the reading was given up.
 */
export async function outcomeOf(
  events: AsyncIterable<ServeEvent>,
): Promise<ServeOutcome> {
  for await (const event of events) if (isFinalEvent(event)) return event;
  return {kind: 'refused', refusal: GIVEN_UP};
}

/**
 * @param outcome - An end without an answer.
 * @returns The refusal to tell the caller.
 */
export function refusalOf(
  outcome: Exclude<ServeOutcome, {readonly kind: 'done'}>,
): Refusal {
  if (outcome.kind === 'refused') return outcome.refusal;
  return mayHaveRun('leaving', 'the target gave the request back');
}
