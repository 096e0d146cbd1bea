/** Deadlines as people write them. */
import {failure, success} from '@oathead/core';
import type {Outcome} from '@oathead/core';
import {usageError} from '../process/cli_error.js';
import type {CliError} from '../process/cli_error.js';

const SPAN_PATTERN = /^(\d{1,6})([smhd])$/;

const UNIT_MS: Readonly<Record<string, number>> = {
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/** When a job is due. */
export interface Due {
  /** In milliseconds since the Unix epoch. */
  readonly dueAt: number;
  /** Counted from now: the same words mean another time later. */
  readonly relative: boolean;
}

/**
 * @param text - A time in ISO 8601 with zone, or a span such as `8h`.
 * @param now - Milliseconds since the Unix epoch.
 * @returns When it is due, if that was given.
 */
export function parseDue(
  text: string | undefined,
  now: number,
): Outcome<Due | undefined, CliError> {
  if (text === undefined) return success(undefined);
  const [, amount, unit] = SPAN_PATTERN.exec(text) ?? [];
  if (amount && unit) {
    const dueAt = now + Number(amount) * UNIT_MS[unit]!;
    return success({dueAt, relative: true});
  }
  const time = Date.parse(text);
  const hasZone = /(?:Z|[+-]\d\d:?\d\d)$/.test(text);
  if (!Number.isNaN(time) && hasZone)
    return success({dueAt: time, relative: false});
  const message = `--due must be a time with zone or a span such as 8h: ${text}`;
  return failure(usageError(message));
}
