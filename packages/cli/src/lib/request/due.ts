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

/**
 * @param text - A time in ISO 8601 with zone, or a span such as `8h`.
 * @param now - Milliseconds since the Unix epoch.
 * @returns The time in milliseconds since the Unix epoch, if one was given.
 */
export function parseDue(
  text: string | undefined,
  now: number,
): Outcome<number | undefined, CliError> {
  if (text === undefined) return success(undefined);
  const [, amount, unit] = SPAN_PATTERN.exec(text) ?? [];
  if (amount && unit) return success(now + Number(amount) * UNIT_MS[unit]!);
  const time = Date.parse(text);
  const hasZone = /(?:Z|[+-]\d\d:?\d\d)$/.test(text);
  if (!Number.isNaN(time) && hasZone) return success(time);
  const message = `--due must be a time with zone or a span such as 8h: ${text}`;
  return failure(usageError(message));
}
