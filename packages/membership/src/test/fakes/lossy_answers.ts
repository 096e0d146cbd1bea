/** A way to the stores that loses answers. */
import {hash32, seededRandom} from '@oathead/core';
import type {StoreCall, StoreFaults} from '@oathead/stand-ins';

const LATE_MS = 1_500;

/**
 * Loses answers to writes at random.
 *
 * @param faults - The way to the stores.
 * @param lost - Share of writes that take effect unheard of.
 * @param late - Share of writes that take effect only later, unheard of.
 */
export function loseAnswers(
  faults: StoreFaults,
  lost: number,
  late: number,
): void {
  const random = seededRandom(hash32(`${lost}/${late}`));
  const drawn = (share: number) => (call: StoreCall) =>
    call.writes && random.float() < share;
  faults.add({fault: {kind: 'answer-lost'}, matches: drawn(lost)});
  faults.add({
    fault: {kind: 'lands-late', delayMs: LATE_MS},
    matches: drawn(late),
  });
}
