/** What the planned size costs, worked out from slopes. */
import {FIGURES} from './figures.js';
import type {Slope} from './slope.js';
import {markdownTable, numberText} from './slopes_text.js';

/** One part of a figure: a slope, at a size. */
export interface Term {
  readonly slope: string;
  readonly size: number;
  /** Adds what the slope's line has at size zero. */
  readonly base?: boolean;
  /** Turns the slope's unit into the figure's. */
  readonly scale?: number;
}

/** One figure of the page. */
export interface Figure {
  readonly role: string;
  readonly what: string;
  readonly terms: readonly Term[];
  readonly unit: string;
  readonly carriedBy: string;
  readonly budget?: number;
}

/**
 * @param slopes - What was measured.
 * @param figure - A figure.
 * @returns Its value and how it was worked out; undefined where a slope that
 *     it needs was not measured.
 */
export function workOut(
  slopes: readonly Slope[],
  figure: Figure,
): {readonly value: number; readonly how: string} | undefined {
  const byId = new Map(slopes.map(slope => [slope.id, slope]));
  let value = 0;
  const parts: string[] = [];
  for (const {slope: id, size, base, scale = 1} of figure.terms) {
    const slope = byId.get(id);
    if (!slope) return undefined;
    const {slope: steep, intercept} = slope.line;
    value += (steep * size + (base ? intercept : 0)) * scale;
    const sum = `${numberText(steep)} × ${numberText(size)}`;
    const whole = base ? `(${sum} + ${numberText(intercept)})` : sum;
    const times = scale === 1 ? '' : ` × ${scale.toPrecision(2)}`;
    parts.push(`${whole}${times} [\`${id}\`]`);
  }
  return {value, how: parts.join(' + ')};
}

/**
 * @param slopes - What was measured.
 * @returns A table of all figures that can be worked out.
 */
export function capacityTable(slopes: readonly Slope[]): string {
  const rows = FIGURES.flatMap(figure => {
    const {role, what, unit, budget, carriedBy} = figure;
    const worked = workOut(slopes, figure);
    if (!worked) return [];
    const {value, how} = worked;
    const limit = budget === undefined ? '' : `${numberText(budget)} ${unit}`;
    const fits =
      budget === undefined ? '' : value <= budget ? 'fits' : '**no**';
    return [
      [role, what, `${numberText(value)} ${unit}`, limit, fits, how, carriedBy],
    ];
  });
  const head = [
    'role',
    'what',
    'figure',
    'budget',
    'fits',
    'slope × size',
    'carried by',
  ];
  return markdownTable(head, rows);
}
