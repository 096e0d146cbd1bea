/**
 * Randomness as the decisions see it: seeded, so that a run can be repeated.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers and of unique names. */
export interface Random {
  /** A number from 0 (included) to 1 (excluded). */
  float(): number;
  /** A whole number from 0 to `below - 1`. */
  int(below: number): number;
  /** A name of 16 hexadecimal digits, unique for all practical purposes. */
  id(): string;
}

const HEX_DIGITS = 8;
const UINT32_MAX = 0xffffffff;

/**
 * @param seed - A whole number; the same seed gives the same sequence.
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

/** Draws a seed from the system's own randomness. @returns A whole number. */
export function systemSeed(): number {
  return crypto.getRandomValues(new Uint32Array(1))[0]! | 0;
}
