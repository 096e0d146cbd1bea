/** Times as people read them. */

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

const UNITS: readonly (readonly [number, string])[] = [
  [DAY_MS, 'd'],
  [HOUR_MS, 'h'],
  [MINUTE_MS, 'm'],
  [SECOND_MS, 's'],
];

/**
 * @param ms - A span of time, in milliseconds.
 * @returns The span in its largest unit, such as `3m`.
 */
export function spanText(ms: number): string {
  const [size, unit] = UNITS.find(([size]) => Math.abs(ms) >= size) ?? [
    SECOND_MS,
    's',
  ];
  return `${Math.trunc(ms / size)}${unit}`;
}
