/** A kind of work that the matrix sends through the faults. */
import type {Step} from '../process/steps.js';
import type {EntryProcess} from '../process/processes.js';
import type {ProofFleet} from '../process/proof_fleet.js';
import type {ProofFleetOptions} from '../process/proof_fleet.js';
import type {Verdict} from './verdict.js';

/** What of the world is gone by the fault itself. */
export interface Damage {
  /** An entry was lost, or went without a word. */
  entryLost: boolean;
  /** A target process, its host, or an engine was lost. */
  targetLost: boolean;
  /** The fault has the work cancelled. */
  cancelled: boolean;
  /** A planned stop is under way. */
  plannedStop: boolean;
}

/** One piece of work on its way. */
export interface Script {
  /** The entry that keeps the work when it starts. */
  readonly home: EntryProcess;
  /** Settles when the caller has all that it will get. */
  readonly done: Promise<void>;
  /** The caller sends it once more, to the given entry. */
  resend(entry: EntryProcess): void;
  /** The caller wants it no more, and tells the given entry. */
  cancel(entry: EntryProcess): void;
  /** Reads everything back once all is quiet, and judges what happened. */
  judge(damage: Damage): Promise<readonly Verdict[]>;
}

/** How a script is started. */
export interface ScriptOptions {
  /** Cancels in the middle. */
  readonly cancels: boolean;
}

/** A kind of work. */
export interface WorkKind {
  readonly name: 'online' | 'keyed' | 'once' | 'batch';
  readonly title: string;
  readonly fleet: Omit<ProofFleetOptions, 'seed'>;
  /** Why a step does not exist for this kind, where it does not. */
  readonly without: Readonly<Partial<Record<Step, string>>>;
  start(fleet: ProofFleet, options: ScriptOptions): Promise<Script>;
}
