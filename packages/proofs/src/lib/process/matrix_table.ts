/** The fault matrix as a page. */
import {FAULTS} from './faults.js';
import {KINDS, summarize} from './matrix.js';
import type {Cell, CellPart} from './matrix.js';
import {STEPS} from './steps.js';
import type {StoryEnd} from './story.js';

const MARKS: Readonly<Record<Cell['verdict'], string>> = {
  passed: 'held',
  failed: '**BROKEN**',
  'not applicable': '–',
};

/**
 * @param cells - All cells.
 * @returns The page, in Markdown.
 */
export function matrixPage(cells: readonly Cell[]): string {
  return [
    '# Fault matrix',
    '',
    'Written by `npm run matrix -- --write`, from running every cell: two',
    'entries and their targets in virtual time, with one fault that strikes as',
    'the work reaches the step. Nothing here is written by hand.',
    '',
    `Each cell is run with ${KINDS.map(kind => kind.title).join(', ')}.`,
    'A number counts how often engines and services took an item: an item that',
    'may be repeated can run again when a target is lost with it.',
    '',
    '```json',
    JSON.stringify(summarize(cells)),
    '```',
    '',
    ...overview(cells),
    '',
    ...broken(cells),
    '## Cells',
    '',
    ...FAULTS.flatMap(fault => [
      `### ${fault.name}`,
      '',
      `${capital(fault.title)}.`,
      '',
      '| step | work | runs | recorded | promises |',
      '| --- | --- | --- | --- | --- |',
      ...cells
        .filter(cell => cell.fault === fault.name)
        .flatMap(cell => cell.parts.map(part => partRow(cell, part))),
      '',
    ]),
  ].join('\n');
}

/**
 * @param cells - All cells.
 * @returns The cells by row and column, as lines of text.
 */
export function overview(cells: readonly Cell[]): readonly string[] {
  const mark = (fault: string, step: string) => {
    const cell = cells.find(c => c.fault === fault && c.step === step);
    return cell ? MARKS[cell.verdict] : 'not run';
  };
  const header = ['fault', ...STEPS];
  return [
    `| ${header.join(' | ')} |`,
    `| ${header.map(() => '---').join(' | ')} |`,
    ...FAULTS.map(({name}) => {
      const marks = STEPS.map(step => mark(name, step));
      return `| ${[name, ...marks].join(' | ')} |`;
    }),
  ];
}

/**
 * @param cells - All cells.
 * @returns What is wrong, one line each.
 */
export function problems(cells: readonly Cell[]): readonly string[] {
  return cells.flatMap(({fault, step, parts}) =>
    parts.flatMap(part => {
      if (!('verdicts' in part)) return [];
      const where = `${fault}, ${step}, ${part.kind}`;
      const missed = part.struck ? [] : [`${where}: the step was not reached`];
      const found = part.verdicts.map(
        ({problem, detail}) => `${where}: ${problem}: ${detail}`,
      );
      return [...missed, ...found];
    }),
  );
}

function broken(cells: readonly Cell[]): readonly string[] {
  const found = problems(cells);
  if (found.length === 0) return [];
  return ['## Broken promises', '', ...found.map(line => `- ${line}`), ''];
}

function partRow({step}: Cell, part: CellPart): string {
  if ('impossible' in part) {
    return `| ${step} | ${part.kind} | – | – | cannot occur: ${part.impossible} |`;
  }
  const wrong = part.verdicts.map(({problem}) => problem);
  const verdict = wrong.length === 0 ? 'all held' : wrong.join(', ');
  const runs = part.items.map(({runs: n}) => n).join(' ');
  return `| ${step} | ${part.kind} | ${runs} | ${recordedIn(part)} | ${verdict} |`;
}

/** Batch items by the letter of their state; other work has no such row. */
function recordedIn({items}: StoryEnd): string {
  const states = items.map(({recorded}) => recorded ?? '');
  return states.join('') === '' ? '–' : states.join('');
}

function capital(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
