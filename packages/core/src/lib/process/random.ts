/**
 * Randomness for the decision logic. It is seeded, so that runs are
 * reproducible.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers and unique IDs. */
export interface Random {
  /** @returns A number from 0 (inclusive) to 1 (exclusive). */
  float(): number;
  /** @returns An integer from 0 to `below - 1`. */
  int(below: number): number;
  /** @returns An ID of 16 random hexadecimal digits, unique in practice. */
  id(): string;
}

const HEX_DIGITS = 8;
const UINT32_MAX = 0xffffffff;

/**
 * @param seed - An integer; the same seed gives the same sequence.
 * @returns A seeded source of randomness.
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const hex = () =>
    uniformInt(generator, 0, UINT32_MAX).toString(16).padStart(HEX_DIGITS, '0');
  return {
    float: () => uniformFloat64(generator),
    int: below => uniformInt(generator, 0, below - 1),
    id: () => hex() + hex(),
  };
}

/** @returns An integer seed from the system's random number generator. */
export function systemSeed(): number {
  return crypto.getRandomValues(new Uint32Array(1))[0]! | 0;
}
