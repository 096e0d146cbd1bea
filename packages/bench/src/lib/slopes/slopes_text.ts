/** Slopes as tables in Markdown. */
import type {Slope} from './slope.js';

const PERCENT = 100;
const SMALL = 10;
const LARGE = 100;

/**
 * @param slopes - What was measured.
 * @returns A table: each slope with its points and how well the line fits.
 */
export function slopesTable(slopes: readonly Slope[]): string {
  const rows = slopes.map(({id, title, unit, points, line}) => [
    `\`${id}\``,
    title,
    `${numberText(line.slope)} ${unit}`,
    `${numberText(line.intercept)} ${unit}`,
    points.map(({x, y}) => `${numberText(x)}: ${numberText(y)}`).join('; '),
    `${(line.residual * PERCENT).toFixed(1)} %`,
  ]);
  return markdownTable(
    ['id', 'what', 'slope', 'at zero', 'measured (size: value)', 'residual'],
    rows,
  );
}

/**
 * @param head - Names of the columns.
 * @param rows - The rows.
 * @returns A table in Markdown.
 */
export function markdownTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join(
    '\n',
  );
}

/**
 * @param value - A number.
 * @returns It with about three digits.
 */
export function numberText(value: number): string {
  const size = Math.abs(value);
  if (size >= LARGE || Number.isInteger(value)) {
    return Math.round(value).toLocaleString('en-US');
  }
  if (size >= SMALL) return value.toFixed(1);
  return value.toFixed(size >= 1 ? 2 : 3);
}

/**
 * Puts text between the markers of a page.
 *
 * @param page - The page.
 * @param name - Name of the markers.
 * @param text - What is to stand between them.
 * @returns The page, changed there alone.
 * @throws Error where the page has no such markers.
 */
export function betweenMarkers(
  page: string,
  name: string,
  text: string,
): string {
  const [begin, end] = [`<!-- ${name}: begin -->`, `<!-- ${name}: end -->`];
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) throw new Error(`no markers ${name} in the page`);
  const head = page.slice(0, from + begin.length);
  return `${head}\n\n${text}\n\n${page.slice(to)}`;
}
