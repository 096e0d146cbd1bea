/** When the requests of an open-loop load are to be sent. */
import {hash32, seededRandom} from '@oathead/core';
import {randomExponential} from 'd3-random';

const MS_PER_SECOND = 1_000;

/**
 * Poisson arrivals: callers who do not wait for each other.
 *
 * @param seed - Decides the gaps; hashed, since the generator's first numbers
 *     after a small seed are close to 1, which is a gap of many seconds.
 * @param perSecond - Mean rate.
 * @param seconds - For how long.
 * @returns Times of sending in milliseconds from the start, in order.
 */
export function poissonArrivals(
  seed: number,
  perSecond: number,
  seconds: number,
): readonly number[] {
  const random = seededRandom(hash32(`arrivals/${seed}`));
  const source = () => random.float();
  const gapMs = randomExponential.source(source)(perSecond / MS_PER_SECOND);
  const arrivals: number[] = [];
  const end = seconds * MS_PER_SECOND;
  for (let at = gapMs(); at < end; at += gapMs()) arrivals.push(at);
  return arrivals;
}
