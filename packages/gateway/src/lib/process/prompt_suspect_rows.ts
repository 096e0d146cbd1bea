/** Rows about parts of prompts in the table of suspects. */
import type {RowRef} from '@oathead/stores';
import {z} from 'zod';
import {PART_KEY_PREFIX, SUSPECT_TABLE} from './suspect_table.js';

/** One crash under a part. The key of its row names the part. */
export const CRASH = z.object({
  service: z.string(),
  targets: z.tuple([z.string()]),
  at: z.number(),
});
/** A verdict. */
export const VERDICT = z.object({
  service: z.string(),
  /** IDs of the crashed targets. */
  targets: z.array(z.string()).readonly(),
  /** Time of the verdict, in store time in milliseconds. */
  at: z.number(),
  /** Number of requests that have been let through since, to try again. */
  trials: z.number().int().nonnegative(),
  /** Time of the last of them, in store time in milliseconds. */
  triedAt: z.number().optional(),
  /**
   * Whether it was passed while nothing got through, so that a request tries
   * soon whether the part is the cause.
   */
  isProvisional: z.boolean().optional(),
  /**
   * Number of requests that may be let through, to try again; absent in rows of
   * earlier releases.
   */
  maxTrials: z.number().int().positive().optional(),
});
/** A part that is guilty, and when it was tried again. */
export type Verdict = Readonly<z.infer<typeof VERDICT>>;

/** @returns The row of the verdict on a part. */
export function verdictRef(part: string): RowRef {
  return {
    table: SUSPECT_TABLE,
    partition: '',
    key: `${PART_KEY_PREFIX}${part}`,
  };
}

/** @returns The row of one crash under a part. */
export function crashRef(part: string, target: string): RowRef {
  const {key, ...ref} = verdictRef(part);
  return {...ref, key: `${key} ${target}`};
}

/**
 * @param key - Key of such a row.
 * @returns The part and, for the row of a crash, the target.
 */
export function parseRowKey(key: string): {
  readonly part: string;
  readonly target: string | undefined;
} {
  const rest = key.slice(PART_KEY_PREFIX.length);
  const space = rest.indexOf(' ');
  return space < 0
    ? {part: rest, target: undefined}
    : {part: rest.slice(0, space), target: rest.slice(space + 1)};
}
