/** Which steps the writes of rows stand for. */
import type {RowWrite} from '@oathead/stores';
import type {Step, Steps} from './steps.js';

/** What the steps of rows are read from. */
export interface RowWorld {
  readonly steps: Steps;
  /** Items of each job, `caller/job`, in order. */
  readonly jobs: ReadonlyMap<string, readonly string[]>;
}

/** An outcome of a batch item in a row. */
export interface RowOutcome {
  readonly item: string;
  readonly state: string;
}

interface ChunkValue {
  readonly states: string;
}

const CHUNK_KEY = /^chunk\/(.+)\/(\d+)$/;
const FINAL_LETTERS = /[dfcu]/;

/** By the beginning of the key: which step a write of the row is. */
const STEP_OF_ROW: readonly (readonly [
  prefix: string,
  step: (write: RowWrite) => Step | undefined,
])[] = [
  ['once/', ({kind}) => (kind === 'put' ? 'claim' : undefined)],
  ['answer/', () => 'record outcome'],
  ['share/', () => 'hand-over'],
  ['chunk/', write => chunkStep(write)],
];

/** Reads steps and outcomes from rows. */
export class RowSteps {
  /** Whether a change of the owner of a share counts as a step. */
  countsHandOver = false;

  /** @param world - Where steps are told, and what jobs there are. */
  constructor(private readonly world: RowWorld) {}

  /**
   * @param process - The process that writes.
   * @param writes - What it is about to write.
   */
  onWrite(process: string, writes: readonly RowWrite[]): void {
    for (const write of writes) {
      const found = STEP_OF_ROW.find(([prefix]) =>
        write.key.startsWith(prefix),
      );
      const step = found?.[1](write);
      if (step === undefined) continue;
      if (step === 'hand-over' && !this.countsHandOver) continue;
      this.world.steps.reach(step, {process});
    }
  }

  /**
   * @param writes - Rows that were written.
   * @param chunkItems - Items of a chunk.
   * @returns The outcomes of batch items in them.
   */
  outcomesIn(
    writes: readonly RowWrite[],
    chunkItems: number,
  ): readonly RowOutcome[] {
    return writes.flatMap(write => {
      const match = CHUNK_KEY.exec(write.key);
      if (!match || write.kind !== 'put') return [];
      const items = this.world.jobs.get(match[1]!) ?? [];
      const begin = Number(match[2]) * chunkItems;
      return [...statesOf(write)].flatMap((state, i) =>
        FINAL_LETTERS.test(state) ? {item: items[begin + i]!, state} : [],
      );
    });
  }
}

function chunkStep(write: RowWrite): Step | undefined {
  const states = statesOf(write);
  if (FINAL_LETTERS.test(states)) return 'record outcome';
  return states.includes('s') ? 'claim' : undefined;
}

function statesOf(write: RowWrite): string {
  if (write.kind !== 'put') return '';
  return (write.value as unknown as ChunkValue).states;
}
