/** Faults that lose the responses of the stores. */
import {hash32, seededRandom} from '@oathead/core';
import type {StoreCall, StoreFaults} from '@oathead/stand-ins';

/** Delay until a late write takes effect, in milliseconds. */
const LATE_WRITE_DELAY_MS = 1_500;

/**
 * Loses the responses to random writes.
 *
 * @param faults - The faults to add to.
 * @param lost - Fraction of writes that take effect and whose response is lost.
 * @param late - Fraction of writes that take effect after a delay and whose
 *     response is lost.
 */
export function loseAnswers(
  faults: StoreFaults,
  lost: number,
  late: number,
): void {
  const random = seededRandom(hash32(`${lost}/${late}`));
  const writesAtRate = (share: number) => (call: StoreCall) =>
    call.writes && random.float() < share;
  faults.add({fault: {kind: 'answer-lost'}, matches: writesAtRate(lost)});
  faults.add({
    fault: {kind: 'lands-late', delayMs: LATE_WRITE_DELAY_MS},
    matches: writesAtRate(late),
  });
}
