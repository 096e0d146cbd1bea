/** The fault matrix: every fault at every step, by running it. */
import {BATCH} from '../request/batch_work.js';
import {ONCE} from '../request/once_work.js';
import {KEYED, ONLINE} from '../request/stream_work.js';
import type {Verdict} from '../request/verdict.js';
import type {WorkKind} from '../request/work_kind.js';
import type {Fault} from './fault.js';
import {FAULTS} from './faults.js';
import {STEPS} from './steps.js';
import type {Step} from './steps.js';
import {tellStory} from './story.js';
import type {StoryEnd} from './story.js';

/** The kinds of work that each cell is run with. */
export const KINDS: readonly WorkKind[] = [ONLINE, KEYED, ONCE, BATCH];

/** One kind of work in one cell. */
export type CellPart =
  {readonly kind: WorkKind['name']; readonly impossible: string} | StoryEnd;

/** One cell. */
export interface Cell {
  readonly fault: string;
  readonly step: Step;
  readonly parts: readonly CellPart[];
  readonly verdict: 'passed' | 'failed' | 'not applicable';
}

/** Figures over all cells. */
export interface MatrixSummary {
  readonly cells: number;
  readonly passed: number;
  readonly failed: number;
  readonly notApplicable: number;
  readonly lost: number;
  readonly doubled: number;
}

/**
 * @param fault - A row.
 * @param step - A column.
 * @param kinds - The kinds of work; all by default.
 * @returns The cell.
 */
export async function runCell(
  fault: Fault,
  step: Step,
  kinds: readonly WorkKind[] = KINDS,
): Promise<Cell> {
  const parts: CellPart[] = [];
  for (const kind of kinds) parts.push(await runPart(fault, step, kind));
  return {fault: fault.name, step, parts, verdict: verdictOf(parts)};
}

/**
 * @param fault - A row.
 * @returns Its cells.
 */
export async function runRow(fault: Fault): Promise<readonly Cell[]> {
  const cells: Cell[] = [];
  for (const step of STEPS) cells.push(await runCell(fault, step));
  return cells;
}

/** @returns All cells. */
export async function runMatrix(): Promise<readonly Cell[]> {
  const cells: Cell[] = [];
  for (const fault of FAULTS) cells.push(...(await runRow(fault)));
  return cells;
}

/**
 * @param cells - All cells.
 * @returns Figures over them.
 */
export function summarize(cells: readonly Cell[]): MatrixSummary {
  const count = (verdict: Cell['verdict']) =>
    cells.filter(cell => cell.verdict === verdict).length;
  const verdicts = cells.flatMap(verdictsOf);
  const having = (problems: readonly string[]) =>
    verdicts.filter(({problem}) => problems.includes(problem)).length;
  return {
    cells: cells.length,
    passed: count('passed'),
    failed: count('failed'),
    notApplicable: count('not applicable'),
    lost: having(['lost']),
    doubled: having(['doubled', 'ran twice']),
  };
}

/** @returns All that is wrong in a cell. */
export function verdictsOf({parts}: Cell): readonly Verdict[] {
  return parts.flatMap(part => ('verdicts' in part ? part.verdicts : []));
}

async function runPart(
  fault: Fault,
  step: Step,
  kind: WorkKind,
): Promise<CellPart> {
  const impossible = kind.without[step] ?? fault.impossible?.(step, kind);
  if (impossible !== undefined) return {kind: kind.name, impossible};
  return tellStory(kind, step, fault);
}

/** A part whose fault never struck proves nothing, and is no pass. */
function verdictOf(parts: readonly CellPart[]): Cell['verdict'] {
  const ran = parts.filter(part => 'verdicts' in part);
  if (ran.length === 0) return 'not applicable';
  const bad = ran.some(({struck, verdicts}) => !struck || verdicts.length > 0);
  return bad ? 'failed' : 'passed';
}
