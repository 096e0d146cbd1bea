/** Tables for people: no frames, so that columns can be cut by other tools. */
import CliTable from 'cli-table3';

const NO_FRAME = Object.fromEntries(
  [
    ...['top', 'top-mid', 'top-left', 'top-right'],
    ...['bottom', 'bottom-mid', 'bottom-left', 'bottom-right'],
    ...['left', 'left-mid', 'mid', 'mid-mid', 'right', 'right-mid'],
  ].map(place => [place, '']),
);

/**
 * @param head - Titles of the columns.
 * @param rows - The cells; control characters are shown as spaces.
 * @returns The table, or a line that says there is nothing.
 */
export function table(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  if (rows.length === 0) return '(none)';
  const drawn = new CliTable({
    head: head.map(title => title.toUpperCase()),
    chars: {...NO_FRAME, middle: '  '},
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  drawn.push(...rows.map(cells => cells.map(cell => plain(String(cell)))));
  return drawn
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}

/** Text from elsewhere may not steer the terminal. */
function plain(text: string): string {
  return text.replace(/\p{Cc}+/gu, ' ');
}
